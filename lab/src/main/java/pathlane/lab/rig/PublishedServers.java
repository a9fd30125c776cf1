package pathlane.lab.rig;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.lab.EventBus;
import pathlane.transport.Protocol;

/** The event bus and the servers it has published: the state that every watch client must reach. On the event loop. */
final class PublishedServers {

    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 20_000;

    private final List<String> services;
    private final EventBus bus;
    private final Map<String, TreeMap<Long, ServerEndpoint>> servers = new HashMap<>();
    private final Set<Long> goneIds = new HashSet<>();
    private long lastId;

    /** The services have the cells 0, 1, ... in this order. */
    PublishedServers(RigLoop loop, List<String> services) {
        this.services = services;
        this.bus = new EventBus(loop, (follower, cell) -> FIRST_PORT + cell);
        services.forEach(service -> servers.put(service, new TreeMap<>()));
    }

    /** The event bus's side of a subscriber's connection. */
    Protocol accept(String subscriber) {
        return bus.accept(subscriber);
    }

    /** Publishes this many new servers of a service. Returns their ids. */
    List<Long> add(String service, int count) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(++lastId);
            publish(lastId, service, ServerStatus.RUNNING);
        }
        return ids;
    }

    /** Publishes a server's state. */
    void publish(long id, String service, ServerStatus status) {
        int cell = services.indexOf(service);
        if (status == ServerStatus.GONE) {
            goneIds.add(id);
            servers.get(service).remove(id);
        } else {
            servers.get(service).put(id,
                    new ServerEndpoint(id, new InetSocketAddress(HOST, FIRST_PORT + cell), status, cell, 1,
                            Instant.EPOCH));
        }
        bus.publish(id, cell, status.ordinal(), 0);
    }

    /** The current servers of a service, in ascending order of their ids. */
    List<ServerEndpoint> endpoints(String service) {
        return List.copyOf(servers.get(service).values());
    }

    /** Whether the event bus has published that this server is gone. */
    boolean isGone(long id) {
        return goneIds.contains(id);
    }
}
