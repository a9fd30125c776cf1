package pathlane.lab.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import pathlane.core.CloseReason;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchClient;
import pathlane.discovery.WatchCodec;
import pathlane.discovery.WatchListener;
import pathlane.discovery.WatchMessage;
import pathlane.discovery.WatchTerms;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.lab.Faults;
import pathlane.lab.FaultyConnection;
import pathlane.standin.VirtualTime;
import pathlane.transport.RateLimitedLog;

/** A publisher that sends the messages a test gives it, valid or not, and the watch client connected to it. */
final class ScriptedPublisher {

    static final String SERVICE = "service-1";
    private static final KeyRing KEYS = KeyRing.read("k1 000102030405060708090a0b0c0d0e0f\n");
    private static final Duration LATENCY = Duration.ofMillis(1);

    final VirtualTime virtualTime = new VirtualTime();
    final List<WatchMessage.Request> requests = new ArrayList<>();
    final List<ServiceState> inForce = new ArrayList<>();
    final List<String> absent = new ArrayList<>();
    final WatchClient client;
    private final SplittableRandom random = new SplittableRandom(1);
    private AuthenticatedLink link;
    private long batch;

    /** Creates a client that watches one service, and whose watch has been accepted. */
    ScriptedPublisher(PublisherStatus status) {
        Faults faults = new Faults();
        WatchTerms terms = new WatchTerms("controller", "z1", "r1", List.of(new WatchTerms.PublisherAddress("relay",
                new InetSocketAddress("127.0.0.1", 9_000), "z1", "r1")), Duration.ofMillis(50), Duration.ofSeconds(1),
                Duration.ofSeconds(60), Duration.ofSeconds(1));
        client = new WatchClient(terms,
                (address, timeout, protocol) -> virtualTime.after(LATENCY,
                        () -> new FaultyConnection(virtualTime, faults, LATENCY, "controller", protocol, "relay",
                                accept(status))),
                common("controller"), virtualTime, random.split(), new Recorder());
        client.watch(SERVICE);
        client.start();
        advance();
    }

    private AuthenticatedLink.Context common(String name) {
        return new AuthenticatedLink.Context(name, () -> KEYS, () -> {
            byte[] bytes = new byte[16];
            random.nextBytes(bytes);
            return bytes;
        }, virtualTime, new RateLimitedLog("discovery", virtualTime));
    }

    private AuthenticatedLink accept(PublisherStatus status) {
        batch = 0;
        link = new AuthenticatedLink(common("relay"), false, new AuthenticatedLink.Listener() {
            @Override
            public void authenticated(AuthenticatedLink up, String name) {}

            @Override
            public void received(byte[] payload) {
                WatchMessage.Request request = (WatchMessage.Request) WatchCodec.message(payload);
                if (request instanceof WatchMessage.Subscribe subscribe && subscribe.last() && batch == 0) {
                    send(new WatchMessage.Accepted(status));
                }
                requests.add(request);
            }

            @Override
            public void closed(CloseReason end) {}
        });
        return link;
    }

    void advance() {
        virtualTime.advance(Duration.ofMillis(200));
    }

    void send(WatchMessage.Response message) {
        link.send(WatchCodec.bytes(message));
    }

    /** Sends changes in one update, and waits until they are handled. */
    void update(ServiceChange... changes) {
        send(new WatchMessage.Update(++batch, List.of(changes)));
        advance();
    }

    /** Returns the interests that the client has requested since the requests were last cleared. */
    List<WatchMessage.Interest> interests() {
        return requests.stream().filter(one -> one instanceof WatchMessage.Subscribe)
                .flatMap(one -> ((WatchMessage.Subscribe) one).interests().stream()).toList();
    }

    static ServiceChange.Snapshot snapshot(Revision revision, List<ServerEndpoint> endpoints) {
        return new ServiceChange.Snapshot(new ServiceState(SERVICE, revision, ServiceDigest.of(endpoints, ""), endpoints,
                ""));
    }

    /** Creates a removal with the digest of the remaining servers. */
    static ServiceChange.Delta removal(Revision from, Revision revision, long server, List<ServerEndpoint> remaining) {
        return new ServiceChange.Delta(SERVICE, from, revision, ServiceDigest.of(remaining, ""), List.of(), List.of(server),
                Optional.empty());
    }

    private final class Recorder implements WatchListener {
        @Override
        public void changed(ServiceState state, ServiceChange change) {
            inForce.add(state);
        }

        @Override
        public void absent(String service, Revision revision) {
            absent.add(service);
        }

        @Override
        public void status(PublisherStatus status) {}
    }
}
