package pathlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.ServerStatus;

/** What a server that has gone from the list still says concerns no call that waits for another server. */
class LateAnswerTest {

    private static final Duration LONG = Duration.ofSeconds(9);

    /** Time that stands still. */
    private static final class Still implements Scheduler {
        @Override
        public Instant now() {
            return Instant.EPOCH.plusSeconds(1_000_000);
        }

        @Override
        public Duration lag() {
            return Duration.ZERO;
        }

        @Override
        public Timer after(Duration delay, Runnable task) {
            return () -> {};
        }
    }

    private final List<String> heard = new ArrayList<>();

    private final class Caller implements ClientPort {
        @Override
        public void answer(String call, byte[] description) {
            heard.add("answer " + call);
        }

        @Override
        public void reject(String call, Duration comeBackAfter) {
            heard.add("refuse " + call);
        }

        @Override
        public void fail(String call) {
            heard.add("fail " + call);
        }

        @Override
        public void release(String call, Outcome how) {
            heard.add("release " + call);
        }
    }

    private final class Port implements ServerPort {
        @Override
        public void sendRequest(CallRequest setUp, Duration patience, boolean mayHaveRun) {
            heard.add("set up " + setUp.id());
        }

        @Override
        public void cancel(String call) {}

        @Override
        public void release(String call, Outcome how, byte[] content) {}

        @Override
        public void drain() {}

        @Override
        public void close() {}
    }

    @Test
    void aCallBetweenAttemptsIsNotAnsweredByAServerThatHasGone() {
        Settings settings = new Settings(List.of(new Settings.CallClass("check", Duration.ofMillis(1500), LONG, 1, 0, 1,
                true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500),
                        Duration.ofMillis(200)),
                1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
                Duration.ofMillis(500), LONG, Duration.ZERO, Optional.empty());
        CallController controller = new CallController(settings, 7, new Still(), line -> new Port());
        Caller caller = new Caller();
        controller.clientConnected(caller);
        controller.updateServers(true,
                List.of(new ServerEndpoint(1, new InetSocketAddress("127.0.0.1", 1), ServerStatus.RUNNING, 0, 1,
                        Instant.EPOCH)));
        controller.submit(new CallRequest("a", 0, "n", LONG, -1, new byte[0]), caller);
        controller.serverReleased(1, "a", Outcome.REJECTED, Duration.ZERO);
        controller.updateServers(true, List.of());
        controller.serverAnswered(1, "a", new byte[0]);
        controller.serverReleased(1, "a", Outcome.COMPLETED, Duration.ZERO);
        assertEquals(List.of("set up a"), heard);
        assertEquals(1, controller.openCalls());
        assertEquals(0, controller.establishedCalls());
    }
}
