package pathlane.lab.rig;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchClient;
import pathlane.discovery.WatchTerms;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.lab.rig.DiscoveryRig.ClientShape;
import pathlane.transport.Connector;
import pathlane.transport.RateLimitedLog;

/**
 * Real watch clients on the test bed's event loop, each with a {@link WatchChecker}; they reach publishers through its
 * {@link Relay}. Waits for conditions on their state, which is read on the event loop. Used from one thread.
 */
public final class WatchClients {

    private static final long TIMEOUT_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final int NONCE_BYTES = 16;
    private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration MAX_RETURN_DELAY = Duration.ofMillis(200);

    private record WatchingClient(ClientShape shape, WatchClient client, WatchChecker witness) {}

    private final RigLoop loop;
    private final PublishedServers published;
    private final Relay relay;
    private final SplittableRandom random;
    private final Map<String, WatchingClient> clients = new LinkedHashMap<>();

    WatchClients(RigLoop loop, PublishedServers published, Relay relay, SplittableRandom random) {
        this.loop = loop;
        this.published = published;
        this.relay = relay;
        this.random = random;
    }

    /** Adds a client of these publishers. */
    void add(ClientShape shape, List<PublisherAddress> publishers) {
        Map<InetSocketAddress, String> names = new HashMap<>();
        publishers.forEach(publisher -> names.put(publisher.address(), publisher.name()));
        Connector connector =
                (address, timeout, protocol) -> relay.connect(shape.name(), protocol, names.get(address), address);
        KeyRing keys = KeyRing.read(DiscoveryRig.KEYS);
        SplittableRandom nonces = random.split();
        AuthenticatedLink.Context common = new AuthenticatedLink.Context(shape.name(), () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            nonces.nextBytes(nonce);
            return nonce;
        }, loop, new RateLimitedLog("rig", loop));
        WatchTerms terms = new WatchTerms(shape.name(), shape.zone(), shape.region(), publishers, MIN_BACKOFF,
                MAX_BACKOFF, IDLE_TIMEOUT, MAX_RETURN_DELAY);
        WatchChecker witness = new WatchChecker(shape.name(), published::isGone);
        WatchClient client = new WatchClient(terms, connector, common, loop, random.split(), witness);
        shape.services().forEach(client::watch);
        clients.put(shape.name(), new WatchingClient(shape, client, witness));
    }

    void start() throws InterruptedException {
        loop.run(() -> clients.values().forEach(watching -> watching.client.start()));
    }

    // ---- state of the clients

    /** A client's state of a service. */
    public Optional<ServiceState> state(String client, String service) throws InterruptedException {
        return loop.call(() -> clients.get(client).client.state(service));
    }

    /** The number of endpoints of a service at a client. */
    public int endpoints(String client, String service) throws InterruptedException {
        return state(client, service).map(state -> state.endpoints().size()).orElse(0);
    }

    /** The number of deltas that a client has received. */
    public long deltas(String client) throws InterruptedException {
        return loop.call(() -> clients.get(client).client.counters().deltas());
    }

    /** All violations that the clients have observed so far. */
    public List<String> violations() throws InterruptedException {
        return loop
                .call(() -> clients.values().stream().flatMap(watching -> watching.witness.violations().stream()).toList());
    }

    // ---- waiting

    /** Waits until these clients (all, if none is named) have exactly the servers that the event bus has published. */
    public void awaitAgreement(String... names) throws InterruptedException {
        List<String> clientNames = names.length == 0 ? List.copyOf(clients.keySet()) : List.of(names);
        await("agreement of " + clientNames,
                () -> clientNames.stream().allMatch(name -> difference(clients.get(name)).isEmpty()));
    }

    /** The difference between a client's state and the servers that the event bus has published. */
    private Optional<String> difference(WatchingClient watching) {
        for (String service : watching.shape.services()) {
            List<ServerEndpoint> expected = published.endpoints(service);
            Optional<ServiceState> state = watching.client.state(service);
            if (state.isEmpty() || !state.get().endpoints().equals(expected)
                    || state.get().digest() != ServiceDigest.of(expected, "")) {
                return Optional.of(watching.shape.name() + " has " + state.map(one -> one.revision() + " with "
                        + one.endpoints().size()).orElse("nothing") + " of " + service + ", which has " + expected.size());
            }
        }
        return Optional.empty();
    }

    /** Waits until a client is connected to this publisher. */
    public void awaitPublisher(String client, String publisher) throws InterruptedException {
        await(client + " at " + publisher, () -> clients.get(client).client.publisher().equals(Optional.of(publisher)));
    }

    /** Waits until a client is informed that its publisher has lost its connection to the source. */
    public void awaitStale(String client) throws InterruptedException {
        await(client + " is informed that it is stale", () -> clients.get(client).witness.status()
                .filter(status -> !status.staleFor().isZero()).isPresent());
    }

    /** Waits until a client has received this many more messages of any kind. */
    public void awaitMessages(String client, int more) throws InterruptedException {
        WatchClient watchClient = clients.get(client).client;
        long wanted = loop.call(() -> watchClient.counters().messagesReceived()) + more;
        await(more + " messages at " + client, () -> watchClient.counters().messagesReceived() >= wanted);
    }

    /** Waits until a condition, evaluated on the event loop, holds. */
    void await(String description, Callable<Boolean> condition) throws InterruptedException {
        for (int polls = 0; !loop.call(condition); polls++) {
            if (polls * POLL_INTERVAL_MILLIS > TIMEOUT_MILLIS) {
                throw new IllegalStateException(
                        "timed out waiting for " + description + "; " + loop.call(this::differences));
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);   // poll interval
        }
    }

    private String differences() {
        return clients.values().stream().map(watching -> difference(watching).orElse(watching.shape.name() + " agrees")
                + " by " + watching.client.publisher().orElse("nobody")).collect(Collectors.joining(", "));
    }
}
