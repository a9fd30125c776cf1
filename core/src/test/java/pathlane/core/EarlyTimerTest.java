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

/**
 * Timers run on one clock and calls are timed by another, so a timer may fire early by the other clock's resolution. The
 * policy must not take such a timer for another one, or it would wait for a timer that never fires.
 */
class EarlyTimerTest {

    private static final Duration DEADLINE = Duration.ofSeconds(9);
    private static final Duration CLOCK_RESOLUTION = Duration.ofNanos(1000);

    private record ScheduledTask(Instant at, Runnable task) {}

    private static final class EarlyFiringScheduler implements Scheduler {
        private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>((one, other) -> one.at.compareTo(other.at));
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
            ScheduledTask scheduled = new ScheduledTask(
                    now.plus(delay).minus(delay.compareTo(CLOCK_RESOLUTION) > 0 ? CLOCK_RESOLUTION : Duration.ZERO), task);
            timers.add(scheduled);
            return () -> timers.remove(scheduled);
        }

        void advanceTo(Instant end) {
            while (!timers.isEmpty() && !timers.peek().at.isAfter(end)) {
                ScheduledTask next = timers.poll();
                now = next.at;
                next.task.run();
            }
            now = end;
        }
    }

    @Test
    void timerThatFiresEarlyIsNotLost() {
        Settings settings = new Settings(List.of(new Settings.CallClass("check", Duration.ofMillis(1500), DEADLINE, 1, 0, 1,
                true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500),
                        Duration.ofMillis(200)),
                1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
                Duration.ofMillis(500), DEADLINE, Duration.ZERO, Optional.empty());
        EarlyFiringScheduler scheduler = new EarlyFiringScheduler();
        List<Duration> rejectedAfter = new ArrayList<>();
        Instant start = scheduler.now();
        CallController controller = new CallController(settings, 7, scheduler, endpoint -> {
            throw new AssertionError("no server is listed");
        });
        ClientPort client = new ClientPort() {
            @Override
            public void answer(String callId, byte[] description) {}

            @Override
            public void reject(String callId, Duration retryAfter) {
                rejectedAfter.add(Duration.between(start, scheduler.now()));
            }

            @Override
            public void fail(String callId) {}

            @Override
            public void release(String callId, Outcome outcome) {}
        };
        controller.clientConnected(client);
        controller.submit(new CallRequest("a", 0, "n", DEADLINE, -1, new byte[0]), client);
        scheduler.advanceTo(start.plus(DEADLINE));
        // Rejected after 0.9 of its latency objective, as with punctual timers; the deadline timer would do so after 9 s.
        assertEquals(List.of(1350L), rejectedAfter.stream().map(delay -> Math.round(delay.toNanos() / 1e6)).toList());
    }
}
