package pathlane.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.core.CallController;
import pathlane.core.CallReplication;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.Counters;
import pathlane.core.ServerEndpoint;
import pathlane.core.ServerPort;
import pathlane.core.ServiceDirectory;
import pathlane.decision.Outcome;
import pathlane.decision.ServerStatus;
import pathlane.discovery.OnDemandWatches;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceState;
import pathlane.standin.VirtualTime;

/** Calls of two services, billing in pool 0 and mail in pool 1, at a controller that watches services on demand. */
class ServicesTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(9);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Settings SETTINGS = new Settings(List.of(new Settings.CallClass("plain", Duration.ofMillis(1500),
            TIMEOUT, 1, 0, 1, true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3,
                    Duration.ofMillis(1500), Duration.ofMillis(200)),
            1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
            Duration.ofMillis(500), Duration.ofMinutes(10), Duration.ZERO, Optional.empty());

    private final VirtualTime time = new VirtualTime();
    private final List<String> log = new ArrayList<>();
    private final OnDemandWatches watches = new OnDemandWatches(time, new WatchActions());
    private final CallController controller = new CallController(SETTINGS, 7, time, Port::new, CallReplication.NONE,
            new Directory());
    private final ServerListFeed feed = new ServerListFeed(controller, watches);
    private final ClientPort client = new Client();
    private int revisions;

    private final class WatchActions implements OnDemandWatches.Actions {
        @Override
        public void watch(String service) {
            log.add("watch " + service);
        }

        @Override
        public boolean unwatch(String service) {
            boolean ended = controller.forgetService(service);
            log.add((ended ? "unwatch " : "keep ") + service);
            return ended;
        }
    }

    private final class Directory implements ServiceDirectory {
        @Override
        public Optional<String> serviceOf(CallRequest request) {
            return request.preferredPool() > 1 ? Optional.empty()
                    : Optional.of(request.preferredPool() == 0 ? "billing" : "mail");
        }

        @Override
        public boolean requireService(String service) {
            return watches.recordUse(service);
        }

        @Override
        public void awaitService(String service, Duration maxWait, Runnable onKnown, Consumer<Duration> onUnknown) {
            watches.await(service, maxWait, onKnown, onUnknown);
        }
    }

    private final class Port implements ServerPort {
        private final long id;

        Port(ServerEndpoint endpoint) {
            id = endpoint.id();
        }

        @Override
        public void sendRequest(CallRequest request, Duration timeout, boolean mayHaveRun) {
            log.add(request.id() + " at " + id);
            time.after(Duration.ofMillis(1), () -> controller.serverAnswered(id, request.id(), new byte[0]));
        }

        @Override
        public void cancel(String call) {}

        @Override
        public void release(String call, Outcome outcome, byte[] content) {}

        @Override
        public void drain() {}

        @Override
        public void close() {
            log.add("closed " + id);
        }
    }

    private final class Client implements ClientPort {
        @Override
        public void answer(String call, byte[] content) {
            log.add(call + " stands");
        }

        @Override
        public void reject(String call, Duration retryDelay) {
            log.add(call + " refused " + retryDelay.toMillis());
        }

        @Override
        public void fail(String call) {
            log.add(call + " failed");
        }

        @Override
        public void release(String call, Outcome outcome) {
            log.add(call + " over");
        }
    }

    @BeforeEach
    void connectClient() {
        controller.clientConnected(client);
    }

    private void call(String id, int pool, Duration timeout) {
        controller.submit(new CallRequest(id, 0, "n" + id, timeout, pool, new byte[0]), client);
        time.advance(STEP);
    }

    private ServiceState state(String service, long... servers) {
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (long id : servers) {
            endpoints.add(new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", (int) id), ServerStatus.RUNNING, 0, 1,
                    Instant.EPOCH));
        }
        return new ServiceState(service, new Revision(1, ++revisions), 0, endpoints, "");
    }

    private void listServers(String service, long... servers) {
        ServiceState state = state(service, servers);
        feed.changed(state, new ServiceChange.Snapshot(state));
    }

    private long count(String entry) {
        return log.stream().filter(entry::equals).count();
    }

    @Test
    void callOfUnwatchedServiceWaitsForItsServers() {
        call("a", 0, TIMEOUT);
        assertEquals(List.of("watch billing"), log);
        listServers("billing", 1);
        time.advance(STEP);
        call("b", 0, TIMEOUT);
        assertEquals(List.of("watch billing", "a at 1", "a stands", "b at 1", "b stands"), log);
    }

    @Test
    void waitIsBoundedByItsOwnLimitAndByTheDeadline() {
        call("short", 0, Duration.ofMillis(300));
        call("long", 0, TIMEOUT);
        time.advance(Duration.ofMillis(200));
        assertEquals(List.of("watch billing", "short refused 1000"), log);
        time.advance(OnDemandWatches.MAX_WAIT);
        assertEquals("long refused 1000", log.get(2));
        listServers("billing", 1);
        time.advance(STEP);
        assertEquals(3, log.size());
        assertEquals(0, controller.openCalls());
    }

    @Test
    void callIsNotSentToServerOfAnotherService() {
        call("a", 0, TIMEOUT);
        call("b", 1, TIMEOUT);
        listServers("billing", 1);
        time.advance(STEP);
        listServers("mail", 2, 1);   // server 1 belongs to billing
        for (int i = 0; i < 20; i++) {
            call("m" + i, 1, TIMEOUT);
        }
        assertTrue(log.contains("a at 1"));
        assertTrue(log.contains("b at 2"));
        assertEquals(21, log.stream().filter(line -> line.endsWith(" at 2")).count());
        feed.absent("mail", new Revision(1, ++revisions));
        time.advance(STEP);
        assertEquals(21, log.stream().filter(line -> line.endsWith(" over")).count());
        assertEquals(0, count("a over"));
        assertEquals(0, controller.counters().value(Counters.Name.BLOCKED_BY_GUARD));
    }

    @Test
    void removedOrDrainingServerGetsNoFurtherCalls() {
        call("a", 0, TIMEOUT);
        ServiceState before = state("billing", 1, 2, 3);
        feed.changed(before, new ServiceChange.Snapshot(before));
        ServerEndpoint draining = before.endpoints().get(1);
        ServiceState after = state("billing", 3);
        feed.changed(after, new ServiceChange.Delta("billing", before.revision(), after.revision(), 0,
                List.of(new ServerEndpoint(2, draining.address(), ServerStatus.DRAINING, 0, 1, Instant.EPOCH)), List.of(1L),
                Optional.empty()));
        assertTrue(log.contains("closed 1"));
        int firstNew = log.size();
        for (int i = 0; i < 20; i++) {
            call("b" + i, 0, TIMEOUT);
        }
        List<String> since = log.subList(firstNew, log.size());
        assertEquals(20, since.stream().filter(line -> line.endsWith(" at 3")).count());
    }

    @Test
    void callInPoolWithoutServiceFailsImmediately() {
        call("a", 7, TIMEOUT);
        assertEquals(List.of("a failed"), log);
    }

    @Test
    void unusedServiceIsUnwatchedUnlessItHasEstablishedCalls() {
        call("a", 0, TIMEOUT);
        listServers("billing", 1);
        time.advance(OnDemandWatches.UNUSED_AFTER.plusMinutes(2));
        assertTrue(count("keep billing") > 0);
        assertEquals(0, count("closed 1"));
        controller.clientReleased("a", new byte[0], client);
        time.advance(Duration.ofMinutes(2));
        assertEquals(1, count("unwatch billing"));
        assertEquals(1, count("closed 1"));
        call("b", 0, TIMEOUT);
        assertEquals(2, count("watch billing"));
        listServers("billing", 1);
        time.advance(STEP);
        assertEquals(1, count("b stands"));
    }
}
