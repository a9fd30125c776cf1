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
 * The list of servers that the controller is told, from what the resolvers of one or several channels name. State
 * without I/O, used in the plug-in's turn only.
 *
 * <p>A resolver names who is there and not who drains. A server that is named no more takes nothing new from then on;
 * it counts as draining while calls are out or stand there, so that a stream outlives its server's name as it does
 * with gRPC's own policies, and as gone after that. An empty list names nobody: all of this holds for each server. But
 * an empty list before the first that names a server is no list yet, or every server would pass for one just started.
 */
final class Directory {

    private final Map<Object, Map<Long, ServerEndpoint>> named = new HashMap<>();
    private final Map<Long, Integer> calls = new HashMap<>();
    private Map<Long, ServerEndpoint> listed = new LinkedHashMap<>();
    private boolean any;

    /** A resolver's whole list; the source is the channel it is for. */
    void named(Object source, List<ServerEndpoint> lines) {
        Map<Long, ServerEndpoint> list = new LinkedHashMap<>();
        lines.forEach(line -> list.put(line.id(), line));
        named.put(source, list);
        any |= !lines.isEmpty();
    }

    /** A channel names servers no more; its last list stays in force unless another channel has one. */
    void silent(Object source) {
        if (named.size() > 1) {
            named.remove(source);
        }
    }

    /** Whether some list has named a server. */
    boolean isAny() {
        return any;
    }

    /** An attempt leaves for a server. */
    void callBegins(long server) {
        calls.merge(server, 1, Integer::sum);
    }

    /** An attempt, or the call that it set up, is over there. True: the list to tell has changed by it. */
    boolean callEnds(long server) {
        calls.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
        return !calls.containsKey(server) && listed.containsKey(server)
                && listed.get(server).status() == ServerStatus.DRAINING;
    }

    /** The whole list as the controller is to be told it now. */
    List<ServerEndpoint> lines() {
        Map<Long, ServerEndpoint> lines = new LinkedHashMap<>();
        named.values().forEach(list -> list.forEach((id, line) -> {
            ServerEndpoint known = lines.get(id);
            if (known == null || known.status() != ServerStatus.RUNNING) {
                lines.put(id, line);
            }
        }));
        listed.forEach((id, line) -> {
            if (!lines.containsKey(id) && calls.containsKey(id)) {
                lines.put(id, new ServerEndpoint(id, line.address(), ServerStatus.DRAINING, line.pool(), line.weight(),
                        line.startedAt()));
            }
        });
        lines.values().removeIf(line -> line.status() == ServerStatus.GONE && !calls.containsKey(line.id()));
        listed = lines;
        return new ArrayList<>(lines.values());
    }

    /** Servers in the list that was last told. */
    int listed() {
        return listed.size();
    }

    /** Servers that count as there, calls on whichever server included; for tests of what is kept. */
    int kept() {
        Set<Long> ids = new HashSet<>(listed.keySet());
        ids.addAll(calls.keySet());
        return ids.size();
    }
}
