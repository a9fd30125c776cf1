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
 * The event bus's server list, grouped by service. A server belongs to the service that owns its cell; a server whose cell
 * has no service is not published, only counted.
 */
final class ServerDirectory {

    /** The changes that an event makes to one service. */
    record EndpointChange(List<ServerEndpoint> upserted, List<Long> removed) {
        private EndpointChange() {
            this(new ArrayList<>(), new ArrayList<>());
        }
    }

    private final Map<Integer, String> serviceByCell = new HashMap<>();
    private final Map<String, Map<Long, ServerEndpoint>> endpoints = new TreeMap<>();
    private final Map<Long, String> serviceById = new HashMap<>();
    private final Set<Long> unassigned = new HashSet<>();

    /** Creates an empty directory from the cells of each service. */
    ServerDirectory(Map<String, Set<Integer>> services) {
        services.forEach((service, cells) -> {
            cells.forEach(cell -> serviceByCell.put(cell, service));
            endpoints.put(service, new TreeMap<>());
        });
    }

    Set<String> services() {
        return endpoints.keySet();
    }

    /** Returns the servers of a service in ascending order of their ids. */
    List<ServerEndpoint> endpoints(String service) {
        return List.copyOf(endpoints.get(service).values());
    }

    /** Returns the number of servers whose cell has no service. */
    int unassigned() {
        return unassigned.size();
    }

    /** Applies an event and returns its changes by service. */
    Map<String, EndpointChange> apply(ServerList list) {
        Map<String, EndpointChange> changes = new TreeMap<>();
        if (list.isComplete()) {
            Set<Long> listed = new HashSet<>();
            list.endpoints().forEach(endpoint -> listed.add(endpoint.id()));
            List.copyOf(serviceById.keySet()).stream().filter(id -> !listed.contains(id))
                    .sorted(Comparator.naturalOrder()).forEach(id -> remove(id, changes));
            unassigned.retainAll(listed);
        }
        list.endpoints().forEach(endpoint -> apply(endpoint, changes));
        return changes;
    }

    private void apply(ServerEndpoint endpoint, Map<String, EndpointChange> changes) {
        Optional<String> service = endpoint.status() == ServerStatus.GONE ? Optional.empty()
                : Optional.ofNullable(serviceByCell.get(endpoint.pool()));
        String previousService = serviceById.get(endpoint.id());
        if (previousService != null && !service.equals(Optional.of(previousService))) {
            remove(endpoint.id(), changes);
        }
        if (endpoint.status() != ServerStatus.GONE && service.isEmpty()) {
            unassigned.add(endpoint.id());
        } else {
            unassigned.remove(endpoint.id());
        }
        service.ifPresent(name -> upsert(name, endpoint, changes));
    }

    private void upsert(String service, ServerEndpoint endpoint, Map<String, EndpointChange> changes) {
        serviceById.put(endpoint.id(), service);
        if (endpoint.equals(endpoints.get(service).put(endpoint.id(), endpoint))) {
            return;
        }
        EndpointChange change = changes.computeIfAbsent(service, key -> new EndpointChange());
        change.upserted().removeIf(earlier -> earlier.id() == endpoint.id());
        change.removed().remove(endpoint.id());
        change.upserted().add(endpoint);
    }

    private void remove(long id, Map<String, EndpointChange> changes) {
        String service = serviceById.remove(id);
        endpoints.get(service).remove(id);
        EndpointChange change = changes.computeIfAbsent(service, key -> new EndpointChange());
        change.upserted().removeIf(earlier -> earlier.id() == id);
        change.removed().add(id);
    }
}
