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

/** All that the source ever held: each service's content by revision, over all of the source's lives. */
final class SourceHistory {

    private final Map<String, TreeMap<Revision, Optional<ServiceState>>> services = new HashMap<>();
    /** Of each service the revisions at which servers were removed or began to drain, and those servers. */
    private final Map<String, TreeMap<Revision, Set<Long>>> removals = new HashMap<>();
    /** Of each service the revisions at which the source held only a part of it. */
    private final Map<String, Set<Revision>> partial = new HashMap<>();
    private final Set<Long> completedEpochs = new HashSet<>();

    /** The source has a new state of a service, or none any more; {@code whole} unless it is still loading it. */
    void note(String service, Revision revision, Optional<ServiceState> state, boolean whole) {
        Set<Revision> partialOfService = partial.computeIfAbsent(service, any -> new HashSet<>());
        if (whole) {
            partialOfService.remove(revision);   // what was still to come has gone meanwhile
        } else {
            partialOfService.add(revision);
        }
        TreeMap<Revision, Optional<ServiceState>> states = services.computeIfAbsent(service, any -> new TreeMap<>());
        Optional<ServiceState> before = states.isEmpty() ? Optional.empty() : states.lastEntry().getValue();
        Set<Long> takenAway = difference(present(before), present(state));
        takenAway.addAll(difference(running(before), running(state)));
        if (!takenAway.isEmpty()) {
            removals.computeIfAbsent(service, any -> new TreeMap<>()).put(revision, takenAway);
        }
        states.put(revision, state);
    }

    /** The source of this epoch holds its whole catalogue. */
    void noteComplete(long epoch) {
        completedEpochs.add(epoch);
    }

    boolean isComplete(long epoch) {
        return completedEpochs.contains(epoch);
    }

    /** Whether the source held only a part of the service at a revision at which that changed. */
    boolean isPartial(String service, Revision revision) {
        return partial.getOrDefault(service, Set.of()).contains(revision);
    }

    /** What the source held of a service at any revision of its epoch. */
    Optional<ServiceState> at(String service, Revision revision) {
        Map.Entry<Revision, Optional<ServiceState>> entry =
                services.getOrDefault(service, new TreeMap<>()).floorEntry(revision);
        return entry == null || entry.getKey().epoch() != revision.epoch() ? Optional.empty() : entry.getValue();
    }

    /**
     * The first revision after one, and up to another of its epoch, at which a server was removed or began to drain that
     * could be sent calls at the one and can't be at the other.
     */
    Optional<Revision> firstWithdrawal(String service, Revision after, Revision upTo) {
        Set<Long> withdrawn = difference(running(at(service, after)), running(at(service, upTo)));
        return removals.getOrDefault(service, new TreeMap<>()).subMap(after, false, upTo, true).entrySet().stream()
                .filter(removal -> removal.getValue().stream().anyMatch(withdrawn::contains))
                .map(Map.Entry::getKey).findFirst();
    }

    /** Whether anything was taken away of the service after one revision and up to another. */
    boolean hasRemoval(String service, Revision after, Revision upTo) {
        return !removals.getOrDefault(service, new TreeMap<>()).subMap(after, false, upTo, true).isEmpty();
    }

    private static Set<Long> difference(Set<Long> before, Set<Long> after) {
        Set<Long> gone = new HashSet<>(before);
        gone.removeAll(after);
        return gone;
    }

    private static Set<Long> present(Optional<ServiceState> state) {
        return state.map(ServiceState::endpoints).orElse(List.of()).stream().map(ServerEndpoint::id)
                .collect(Collectors.toSet());
    }

    /** The servers of a state that may be sent calls. */
    private static Set<Long> running(Optional<ServiceState> state) {
        return state.map(ServiceState::endpoints).orElse(List.of()).stream()
                .filter(line -> line.status() == ServerStatus.RUNNING).map(ServerEndpoint::id).collect(Collectors.toSet());
    }
}
