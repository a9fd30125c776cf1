package pathlane.lab.discovery;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/** The services that the source should publish, and random changes to them. It outlives the source's incarnations. */
final class ServiceContents {

    private static final int SERVER_PORT = 20_000;
    private static final int MAX_SERVERS_PER_SERVICE = 12;

    /** A change of one service as passed to the source; all other fields are empty if the service is removed. */
    record Change(String service, boolean removesService, List<ServerEndpoint> upserted, List<Long> removed,
            Optional<String> configuration) {}

    /** The servers and the configuration of one service. */
    static final class Content {
        final TreeMap<Long, ServerEndpoint> servers = new TreeMap<>();
        String configuration = "";

        List<ServerEndpoint> endpoints() {
            return List.copyOf(servers.values());
        }
    }

    private final TreeMap<String, Content> services = new TreeMap<>();
    private final SplittableRandom random;
    private long lastServer;
    private int lastService;
    private int lastConfiguration;

    ServiceContents(SplittableRandom random, int services, int servers) {
        this.random = random;
        for (int i = 0; i < services; i++) {
            addService(servers);
        }
    }

    Map<String, Content> services() {
        return services;
    }

    /** Makes one randomly chosen change. */
    Change randomChange() {
        if (services.size() < 2) {
            return addService(1 + random.nextInt(4));
        }
        String service = List.copyOf(services.keySet()).get(random.nextInt(services.size()));
        return switch (random.nextInt(20)) {
            case 0 -> removeService(service);
            case 1 -> addService(1 + random.nextInt(4));
            case 2 -> removeMost(service);
            case 3, 4, 5 -> configure(service);
            case 6, 7, 8, 9, 10 -> removeServer(service);
            case 11, 12, 13, 14 -> drainServer(service);
            default -> addServers(service, 1 + random.nextInt(3));
        };
    }

    /** Randomly removes or changes some of the contents, as a restarted source may find them. */
    void removeSomeRandomly() {
        for (String service : List.copyOf(services.keySet())) {
            switch (random.nextInt(6)) {
                case 0 -> removeServer(service);
                case 1 -> configure(service);
                case 2 -> {
                    if (random.nextInt(4) == 0 && services.size() > 2) {
                        removeService(service);
                    }
                }
                default -> {}
            }
        }
    }

    /** Adds a service under a new name. */
    Change addService(int servers) {
        String service = "service-" + ++lastService;
        services.put(service, new Content());
        Change withServers = addServers(service, servers);
        Change withConfiguration = configure(service);
        return new Change(service, false, withServers.upserted(), List.of(), withConfiguration.configuration());
    }

    Change removeService(String service) {
        services.remove(service);
        return new Change(service, true, List.of(), List.of(), Optional.empty());
    }

    Change configure(String service) {
        services.get(service).configuration = "retries = " + ++lastConfiguration;
        return new Change(service, false, List.of(), List.of(), Optional.of(services.get(service).configuration));
    }

    Change addServers(String service, int number) {
        Content content = services.get(service);
        List<ServerEndpoint> added = new ArrayList<>();
        for (int i = 0; i < number && content.servers.size() < MAX_SERVERS_PER_SERVICE; i++) {
            ServerEndpoint endpoint = endpoint(++lastServer, ServerStatus.RUNNING);
            content.servers.put(endpoint.id(), endpoint);
            added.add(endpoint);
        }
        return new Change(service, false, added, List.of(), Optional.empty());
    }

    Change removeServer(String service) {
        Content content = services.get(service);
        List<Long> removed = content.servers.isEmpty() ? List.of() : List.of(randomServer(content));
        removed.forEach(content.servers::remove);
        return new Change(service, false, List.of(), removed, Optional.empty());
    }

    /** Removes all servers but one: a genuine change that looks like a partial list. */
    Change removeMost(String service) {
        Content content = services.get(service);
        List<Long> removed = content.servers.isEmpty() ? List.of()
                : List.copyOf(content.servers.headMap(content.servers.lastKey()).keySet());
        removed.forEach(content.servers::remove);
        return new Change(service, false, List.of(), removed, Optional.empty());
    }

    Change drainServer(String service) {
        Content content = services.get(service);
        List<ServerEndpoint> drained = new ArrayList<>();
        if (!content.servers.isEmpty()) {
            ServerEndpoint endpoint = endpoint(randomServer(content), ServerStatus.DRAINING);
            content.servers.put(endpoint.id(), endpoint);
            drained.add(endpoint);
        }
        return new Change(service, false, drained, List.of(), Optional.empty());
    }

    private long randomServer(Content content) {
        return List.copyOf(content.servers.keySet()).get(random.nextInt(content.servers.size()));
    }

    private static ServerEndpoint endpoint(long id, ServerStatus status) {
        return new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", SERVER_PORT + (int) id), status, (int) id, 1,
                Instant.EPOCH);
    }
}
