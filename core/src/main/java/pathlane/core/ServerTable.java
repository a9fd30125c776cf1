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
import java.util.function.Consumer;
import pathlane.config.Millis;
import pathlane.decision.RoutingPolicy.ListedServer;
import pathlane.decision.ServerStatus;

/** The session servers that the lists of the services name, and those that have gone from them. On the loop's thread. */
final class ServerTable {

    /**
     * A change of the list: what the policy is told, and what is carried out once it has been told, or it would choose the
     * same servers again.
     */
    record Change(List<ListedServer> entries, List<Runnable> consequences) {}

    private final CallController.ServerPortFactory ports;
    private final Consumer<Server> onCallsCut;
    private final Map<Long, Server> servers = new TreeMap<>();
    private final RemovedServers removed = new RemovedServers();

    /** {@code onCallsCut} is told of a server whose process has been replaced, or that has gone from the list. */
    ServerTable(CallController.ServerPortFactory ports, Consumer<Server> onCallsCut) {
        this.ports = ports;
        this.onCallsCut = onCallsCut;
    }

    Optional<Server> find(long id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** The servers, by id. */
    Collection<Server> all() {
        return servers.values();
    }

    /** Whether the list had this server, and it has gone; the latest few thousand are remembered. */
    boolean isRemoved(long id) {
        return removed.contains(id);
    }

    int size() {
        return servers.size();
    }

    /** The list of a service changed: to these endpoints alone, or by these where it is not the whole list. */
    Change update(Service service, boolean isWhole, List<ServerEndpoint> listed) {
        // A server belongs to the service that named it first: its calls are not mixed with another's.
        List<ServerEndpoint> endpoints = listed.stream().filter(endpoint -> isFreeFor(endpoint.id(), service)).toList();
        Change change = new Change(new ArrayList<>(), new ArrayList<>());
        if (isWhole) {
            Set<Long> named = new HashSet<>();
            endpoints.forEach(endpoint -> named.add(endpoint.id()));
            servers.values().stream().filter(server -> server.service() == service && !named.contains(server.id()))
                    .forEach(server -> remove(server, change));
        }
        for (ServerEndpoint endpoint : endpoints) {
            change.entries.add(entry(endpoint));
            update(service, endpoint, change);
        }
        return change;
    }

    private boolean isFreeFor(long id, Service service) {
        Server server = servers.get(id);
        return server == null || server.service() == service;
    }

    private static ListedServer entry(ServerEndpoint endpoint) {
        double startedMs = endpoint.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(endpoint.startedAt());
        return new ListedServer(endpoint.id(), endpoint.pool(), endpoint.status(), startedMs, endpoint.weight());
    }

    private void update(Service service, ServerEndpoint endpoint, Change change) {
        Server known = servers.get(endpoint.id());
        if (known != null && endpoint.startedAt().isAfter(known.endpoint().startedAt())) {
            // What was established at the old process went with it.
            change.consequences.add(() -> onCallsCut.accept(known));
        }
        boolean hasMoved = known != null && !known.endpoint().address().equals(endpoint.address());
        boolean isReplaced = known != null && (known.isGone() || hasMoved);
        if (isReplaced) {
            remove(known, change);
            servers.remove(endpoint.id());
        }
        boolean isNew = known == null || isReplaced;
        if (isNew && endpoint.status() == ServerStatus.GONE) {
            return;
        }
        Server server = isNew ? new Server(service, endpoint, ports.apply(endpoint)) : known;
        servers.put(endpoint.id(), server);
        server.update(endpoint);
        if (server.isGone()) {
            remove(server, change);
        } else if (endpoint.status() == ServerStatus.DRAINING) {
            change.consequences.add(server.port()::drain);
        }
    }

    private void remove(Server server, Change change) {
        server.update(server.endpoint().withStatus(ServerStatus.GONE));
        change.consequences.add(() -> {
            server.port().close();
            onCallsCut.accept(server);
            removed.add(server.id());
            servers.remove(server.id(), server);   // servers come under new ids: those that have gone are not kept
        });
    }

    /** Forgets a service's servers, which have not gone but are not followed any more. */
    void forget(Service service) {
        List<Server> left = servers.values().stream().filter(server -> server.service() == service).toList();
        left.forEach(server -> {
            servers.remove(server.id());
            server.port().close();
        });
    }
}
