package pathlane.lab.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceState;

/** All states that the source ever held: each service by revision, across all incarnations of the source. */
final class SourceHistory {

    private final Map<String, TreeMap<Revision, Optional<ServiceState>>> services = new HashMap<>();
    /** For each service, the revisions at which servers were removed or began to drain, and those servers. */
    private final Map<String, TreeMap<Revision, Set<Long>>> removals = new HashMap<>();
    /** For each service, the revisions at which the source had loaded only a part of it. */
    private final Map<String, Set<Revision>> partial = new HashMap<>();
    private final Set<Long> completedEpochs = new HashSet<>();

    /** Records a new state of a service, empty if it was removed; {@code isComplete} is false while it is being loaded. */
    void record(String service, Revision revision, Optional<ServiceState> state, boolean isComplete) {
        Set<Revision> partialOfService = partial.computeIfAbsent(service, any -> new HashSet<>());
        if (isComplete) {
            partialOfService.remove(revision);   // the part not yet loaded has been removed since
        } else {
            partialOfService.add(revision);
        }
        TreeMap<Revision, Optional<ServiceState>> states = services.computeIfAbsent(service, any -> new TreeMap<>());
        Optional<ServiceState> before = states.isEmpty() ? Optional.empty() : states.lastEntry().getValue();
        Set<Long> removedServers = difference(present(before), present(state));
        removedServers.addAll(difference(running(before), running(state)));
        if (!removedServers.isEmpty()) {
            removals.computeIfAbsent(service, any -> new TreeMap<>()).put(revision, removedServers);
        }
        states.put(revision, state);
    }

    /** Records that the source of this epoch has loaded its complete catalogue. */
    void recordComplete(long epoch) {
        completedEpochs.add(epoch);
    }

    boolean isComplete(long epoch) {
        return completedEpochs.contains(epoch);
    }

    /** Whether the source held only a part of the service at a revision that changed the service. */
    boolean isPartial(String service, Revision revision) {
        return partial.getOrDefault(service, Set.of()).contains(revision);
    }

    /** Returns the state of a service that the source held at a revision, within the revision's epoch. */
    Optional<ServiceState> at(String service, Revision revision) {
        Map.Entry<Revision, Optional<ServiceState>> entry =
                services.getOrDefault(service, new TreeMap<>()).floorEntry(revision);
        return entry == null || entry.getKey().epoch() != revision.epoch() ? Optional.empty() : entry.getValue();
    }

    /**
     * Finds the first revision in the range {@code (after, upTo]} of one epoch that removed or drained a server which
     * accepted calls at {@code after} and no longer does at {@code upTo}.
     */
    Optional<Revision> firstWithdrawal(String service, Revision after, Revision upTo) {
        Set<Long> withdrawn = difference(running(at(service, after)), running(at(service, upTo)));
        return removals.getOrDefault(service, new TreeMap<>()).subMap(after, false, upTo, true).entrySet().stream()
                .filter(removal -> removal.getValue().stream().anyMatch(withdrawn::contains))
                .map(Map.Entry::getKey).findFirst();
    }

    /** Whether any server was removed or drained in the range {@code (after, upTo]}. */
    boolean hasRemoval(String service, Revision after, Revision upTo) {
        return !removals.getOrDefault(service, new TreeMap<>()).subMap(after, false, upTo, true).isEmpty();
    }

    private static Set<Long> difference(Set<Long> before, Set<Long> after) {
        Set<Long> difference = new HashSet<>(before);
        difference.removeAll(after);
        return difference;
    }

    private static Set<Long> present(Optional<ServiceState> state) {
        return state.map(ServiceState::endpoints).orElse(List.of()).stream().map(ServerEndpoint::id)
                .collect(Collectors.toSet());
    }

    /** Returns the servers of a state that accept calls. */
    private static Set<Long> running(Optional<ServiceState> state) {
        return state.map(ServiceState::endpoints).orElse(List.of()).stream()
                .filter(endpoint -> endpoint.status() == ServerStatus.RUNNING).map(ServerEndpoint::id)
                .collect(Collectors.toSet());
    }
}
