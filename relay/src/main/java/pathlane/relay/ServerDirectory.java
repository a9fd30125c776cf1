package pathlane.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import pathlane.bus.ServerList;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * The event bus's list of servers, by service. A server belongs to the service that has its cell; one whose cell has no
 * service is left out and counted.
 */
final class ServerDirectory {

    /** What an event changes in one service. */
    record EndpointChange(List<ServerEndpoint> upserted, List<Long> removed) {
        private EndpointChange() {
            this(new ArrayList<>(), new ArrayList<>());
        }
    }

    private final Map<Integer, String> serviceByCell = new HashMap<>();
    private final Map<String, Map<Long, ServerEndpoint>> endpoints = new TreeMap<>();
    private final Map<Long, String> serviceById = new HashMap<>();
    private final Set<Long> unassigned = new HashSet<>();

    /** Holds no server yet; each service has its cells. */
    ServerDirectory(Map<String, Set<Integer>> services) {
        services.forEach((service, cells) -> {
            cells.forEach(cell -> serviceByCell.put(cell, service));
            endpoints.put(service, new TreeMap<>());
        });
    }

    Set<String> services() {
        return endpoints.keySet();
    }

    /** The servers of a service in ascending order of their ids. */
    List<ServerEndpoint> endpoints(String service) {
        return List.copyOf(endpoints.get(service).values());
    }

    /** Servers whose cell has no service. */
    int unassigned() {
        return unassigned.size();
    }

    /** Applies an event; returns what it changed, by service. */
    Map<String, EndpointChange> apply(ServerList list) {
        Map<String, EndpointChange> changes = new TreeMap<>();
        if (list.whole()) {
            Set<Long> listed = new HashSet<>();
            list.lines().forEach(line -> listed.add(line.id()));
            List.copyOf(serviceById.keySet()).stream().filter(id -> !listed.contains(id))
                    .sorted(Comparator.naturalOrder()).forEach(id -> remove(id, changes));
            unassigned.retainAll(listed);
        }
        list.lines().forEach(line -> apply(line, changes));
        return changes;
    }

    private void apply(ServerEndpoint line, Map<String, EndpointChange> changes) {
        Optional<String> service = line.status() == ServerStatus.GONE ? Optional.empty()
                : Optional.ofNullable(serviceByCell.get(line.pool()));
        String before = serviceById.get(line.id());
        if (before != null && !service.equals(Optional.of(before))) {
            remove(line.id(), changes);
        }
        if (line.status() != ServerStatus.GONE && service.isEmpty()) {
            unassigned.add(line.id());
        } else {
            unassigned.remove(line.id());
        }
        service.ifPresent(name -> upsert(name, line, changes));
    }

    private void upsert(String service, ServerEndpoint line, Map<String, EndpointChange> changes) {
        serviceById.put(line.id(), service);
        if (line.equals(endpoints.get(service).put(line.id(), line))) {
            return;
        }
        EndpointChange change = changes.computeIfAbsent(service, any -> new EndpointChange());
        change.upserted().removeIf(earlier -> earlier.id() == line.id());
        change.removed().remove(line.id());
        change.upserted().add(line);
    }

    private void remove(long id, Map<String, EndpointChange> changes) {
        String service = serviceById.remove(id);
        endpoints.get(service).remove(id);
        EndpointChange change = changes.computeIfAbsent(service, any -> new EndpointChange());
        change.upserted().removeIf(earlier -> earlier.id() == id);
        change.removed().add(id);
    }
}
