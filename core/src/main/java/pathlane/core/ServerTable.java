package pathlane.core;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import pathlane.config.Millis;
import pathlane.decision.RoutingPolicy.ListedServer;
import pathlane.decision.ServerStatus;

/** The session servers in the services' server lists, and those removed from them. Runs on the event loop's thread. */
final class ServerTable {

    /**
     * A change of the server list: the entries for the policy, and the actions to run once the policy has received them. Run
     * earlier, they would make the policy choose the same servers again.
     */
    record Change(List<ListedServer> entries, List<Runnable> followUps) {}

    /** Receives what the server list shows of servers whose established calls are lost. */
    interface LossListener {

        /** The server's process was replaced by one that started at this time; calls may be established there already. */
        void processReplaced(Server server, Instant startedAt);

        /** The server was removed from the list. */
        void serverRemoved(Server server);
    }

    private final CallController.ServerPortFactory ports;
    private final Map<Long, Server> servers = new TreeMap<>();
    private final RemovedServers removed = new RemovedServers();
    private LossListener losses;

    ServerTable(CallController.ServerPortFactory ports) {
        this.ports = ports;
    }

    /** Sets the receiver of losses; called once, before the first update of the server list. */
    void bind(LossListener listener) {
        losses = listener;
    }

    Optional<Server> find(long id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the servers, ordered by id. */
    Collection<Server> all() {
        return servers.values();
    }

    /** Returns whether this server was removed from the server list; only the last few thousand are remembered. */
    boolean isRemoved(long id) {
        return removed.contains(id);
    }

    int size() {
        return servers.size();
    }

    /** Updates the server list of a service: replaces it if the list is complete, else changes only the listed entries. */
    Change update(Service service, boolean isComplete, List<ServerEndpoint> listed) {
        // A server belongs to the service that listed it first, so that calls of two services are not mixed.
        List<ServerEndpoint> endpoints = listed.stream().filter(endpoint -> isAvailableTo(endpoint.id(), service)).toList();
        Change change = new Change(new ArrayList<>(), new ArrayList<>());
        if (isComplete) {
            Set<Long> listedIds = new HashSet<>();
            endpoints.forEach(endpoint -> listedIds.add(endpoint.id()));
            servers.values().stream().filter(server -> server.service() == service && !listedIds.contains(server.id()))
                    .forEach(server -> remove(server, change));
        }
        for (ServerEndpoint endpoint : endpoints) {
            change.entries.add(toListedServer(endpoint));
            update(service, endpoint, change);
        }
        return change;
    }

    private boolean isAvailableTo(long id, Service service) {
        Server server = servers.get(id);
        return server == null || server.service() == service;
    }

    private static ListedServer toListedServer(ServerEndpoint endpoint) {
        double startedMs = endpoint.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(endpoint.startedAt());
        return new ListedServer(endpoint.id(), endpoint.pool(), endpoint.status(), startedMs, endpoint.weight());
    }

    private void update(Service service, ServerEndpoint endpoint, Change change) {
        Server existing = servers.get(endpoint.id());
        if (existing != null && endpoint.startedAt().isAfter(existing.endpoint().startedAt())) {
            change.followUps.add(() -> losses.processReplaced(existing, endpoint.startedAt()));
        }
        boolean hasMoved = existing != null && !existing.endpoint().address().equals(endpoint.address());
        boolean isReplaced = existing != null && (existing.isGone() || hasMoved);
        if (isReplaced) {
            remove(existing, change);
            servers.remove(endpoint.id());
        }
        boolean isNew = existing == null || isReplaced;
        if (isNew && endpoint.status() == ServerStatus.GONE) {
            return;
        }
        Server server = isNew ? new Server(service, endpoint, ports.apply(endpoint)) : existing;
        servers.put(endpoint.id(), server);
        server.update(endpoint);
        if (server.isGone()) {
            remove(server, change);
        } else if (endpoint.status() == ServerStatus.DRAINING) {
            change.followUps.add(server.port()::drain);
        }
    }

    private void remove(Server server, Change change) {
        server.update(server.endpoint().withStatus(ServerStatus.GONE));
        change.followUps.add(() -> {
            server.port().close();
            losses.serverRemoved(server);
            removed.add(server.id());
            servers.remove(server.id(), server);   // not kept: new servers have new ids
        });
    }

    /** Forgets a service's servers, which still exist but are no longer watched. */
    void forget(Service service) {
        List<Server> unwatched = servers.values().stream().filter(server -> server.service() == service).toList();
        unwatched.forEach(server -> {
            servers.remove(server.id());
            server.port().close();
        });
    }
}
