package pathlane.grpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * Merges the server lists of one or more channels' resolvers into the list for the controller. It does no I/O and is used
 * in the engine's synchronization context only.
 *
 * <p>A resolver lists the servers that exist but not which of them are draining. A server that is no longer listed gets
 * no new calls. It counts as draining while it has pending attempts or established calls, so that a stream outlives its
 * server's listing as with gRPC's own policies, and as gone after that. An empty list applies this to every server. An
 * empty list before the first non-empty one is ignored, since otherwise every server would appear to have just started.
 */
final class MergedServerList {

    private final Map<Object, Map<Long, ServerEndpoint>> listsBySource = new HashMap<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private Map<Long, ServerEndpoint> lastMerged = new LinkedHashMap<>();
    private boolean hasListedServer;

    /** Replaces the list from one resolver; the source is the channel that it resolves for. */
    void setList(Object source, List<ServerEndpoint> endpoints) {
        Map<Long, ServerEndpoint> endpointsById = new LinkedHashMap<>();
        endpoints.forEach(endpoint -> endpointsById.put(endpoint.id(), endpoint));
        listsBySource.put(source, endpointsById);
        hasListedServer |= !endpoints.isEmpty();
    }

    /** Removes a channel's list when its resolver has stopped. The only remaining list stays in force. */
    void removeSource(Object source) {
        if (listsBySource.size() > 1) {
            listsBySource.remove(source);
        }
    }

    /** Returns whether any list has ever contained a server. */
    boolean hasListedServer() {
        return hasListedServer;
    }

    /** Records that an attempt for a server starts. */
    void attemptStarted(long server) {
        attemptCounts.merge(server, 1, Integer::sum);
    }

    /** Records that an attempt, or the call that it established, has ended. Returns whether this changes the merged list. */
    boolean attemptEnded(long server) {
        attemptCounts.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
        return !attemptCounts.containsKey(server) && lastMerged.containsKey(server)
                && lastMerged.get(server).status() == ServerStatus.DRAINING;
    }

    /** Returns the complete list for the controller and stores it as the last one. */
    List<ServerEndpoint> merge() {
        Map<Long, ServerEndpoint> merged = new LinkedHashMap<>();
        listsBySource.values().forEach(list -> list.forEach((id, endpoint) -> {
            ServerEndpoint previous = merged.get(id);
            if (previous == null || previous.status() != ServerStatus.RUNNING) {
                merged.put(id, endpoint);
            }
        }));
        lastMerged.forEach((id, endpoint) -> {
            if (!merged.containsKey(id) && attemptCounts.containsKey(id)) {
                merged.put(id,
                        new ServerEndpoint(id, endpoint.address(), ServerStatus.DRAINING, endpoint.pool(), endpoint.weight(),
                                endpoint.startedAt()));
            }
        });
        merged.values()
                .removeIf(endpoint -> endpoint.status() == ServerStatus.GONE && !attemptCounts.containsKey(endpoint.id()));
        lastMerged = merged;
        return new ArrayList<>(merged.values());
    }

    /** Returns the number of servers in the list that was last merged. */
    int size() {
        return lastMerged.size();
    }

    /** Returns the number of servers that are listed or have calls; for tests of retained state. */
    int retainedEntries() {
        Set<Long> ids = new HashSet<>(lastMerged.keySet());
        ids.addAll(attemptCounts.keySet());
        return ids.size();
    }
}
