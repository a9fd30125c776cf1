package pathlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.decision.Outcome;

/** Timers run by one clock and calls are timed by another, so a timer may be early by a grain of the other. */
class EarlyTimerTest {

    private static final Duration LONG = Duration.ofSeconds(9);
    private static final Duration GRAIN = Duration.ofNanos(1000);

    private record Due(Instant at, Runnable task) {}

    private static final class Early implements Scheduler {
        private final PriorityQueue<Due> timers = new PriorityQueue<>((one, other) -> one.at.compareTo(other.at));
        private Instant now = Instant.EPOCH.plusSeconds(1_000_000);

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public Duration lag() {
            return Duration.ZERO;
        }

        @Override
        public Timer after(Duration delay, Runnable task) {
            Due due = new Due(now.plus(delay).minus(delay.compareTo(GRAIN) > 0 ? GRAIN : Duration.ZERO), task);
            timers.add(due);
            return () -> timers.remove(due);
        }

        void until(Instant end) {
            while (!timers.isEmpty() && !timers.peek().at.isAfter(end)) {
                Due due = timers.poll();
                now = due.at;
                due.task.run();
            }
            now = end;
        }
    }

    @Test
    void aBellThatIsEarlyIsNotLost() {
        Settings settings = new Settings(List.of(new Settings.CallClass("check", Duration.ofMillis(1500), LONG, 1, 0, 1,
                true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500),
                        Duration.ofMillis(200)),
                1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
                Duration.ofMillis(500), LONG, Duration.ZERO, Optional.empty());
        Early time = new Early();
        List<Duration> refusedAfter = new ArrayList<>();
        Instant start = time.now();
        CallController controller = new CallController(settings, 7, time, line -> {
            throw new AssertionError("no server is listed");
        });
        ClientPort caller = new ClientPort() {
            @Override
            public void answer(String call, byte[] description) {}

            @Override
            public void reject(String call, Duration comeBackAfter) {
                refusedAfter.add(Duration.between(start, time.now()));
            }

            @Override
            public void fail(String call) {}

            @Override
            public void release(String call, Outcome how) {}
        };
        controller.clientConnected(caller);
        controller.submit(new CallRequest("a", 0, "n", LONG, -1, new byte[0]), caller);
        time.until(start.plus(LONG));
        // Held for 0.9 of its aim, as with timers that are on time; the guard would refuse it after 9 s.
        assertEquals(List.of(1350L), refusedAfter.stream().map(after -> Math.round(after.toNanos() / 1e6)).toList());
    }
}
