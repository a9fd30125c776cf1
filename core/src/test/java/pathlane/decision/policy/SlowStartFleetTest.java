package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;

/**
 * The slow-start rule for thirty controllers, in virtual time: they learn of the starting server up to 2 s late, one of them
 * has five times the traffic of the others, a third restart during its slow start and then know only its start time, and one
 * attempt in ten is reset and retried. In any window all together send at most what the settings allow at that time, plus
 * twice its square root plus two.
 */
class SlowStartFleetTest {

    private static final int CONTROLLERS = 30;
    private static final int BUSY_FACTOR = 5;
    /** How long the controllers run before server 2 starts, and then how long its slow start takes. */
    private static final double START_MS = 20_000;
    private static final double SLOW_START_MS = 10_000;
    private static final double WINDOW_MS = 1000;
    /** Requests per second of all controllers, for two servers: 40 each, which a fully started server can answer. */
    private static final double TOTAL_RATE = 80;
    private static final double ANSWER_DELAY_MS = 30;

    private record Event(double at, long order, Runnable action) {}

    /** One controller and its traffic. */
    private static final class Controller {
        private final SplittableRandom random;
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at)
                .thenComparingLong(Event::order));
        private final double meanInterval;
        private PolicyHarness harness;
        private long order;
        private int processed;

        Controller(int number, long seed) {
            random = new SplittableRandom(seed * 1000 + number);
            meanInterval = 1000 * (CONTROLLERS - 1 + BUSY_FACTOR) / TOTAL_RATE / (number == 0 ? BUSY_FACTOR : 1);
            start(0, List.of(PolicyHarness.runningServer(1)));
            schedule(random.nextDouble() * meanInterval, this::requestNextCall);
        }

        void schedule(double time, Runnable action) {
            events.add(new Event(time, order++, action));
        }

        /** Starts, or restarts, a controller that knows nothing but the server list. */
        void start(double now, List<RoutingPolicy.ListedServer> list) {
            harness = new PolicyHarness(PolicyHarness.settings(List.of(PolicyHarness.callClass(1000, 1)), CONTROLLERS, 4, 0),
                    random.nextLong());
            processed = 0;
            harness.advanceTo(now);
            harness.listServers(list.toArray(RoutingPolicy.ListedServer[]::new));
        }

        private void requestNextCall() {
            harness.requestCall("c" + order, 0, 1 + random.nextInt(2));
            schedule(harness.now - meanInterval * Math.log(1 - random.nextDouble()), this::requestNextCall);
        }

        /** Runs until the given time; answers requests after a delay, and records those to server 2 in {@code sends}. */
        void run(double until, List<Double> sends) {
            while (true) {
                double next = events.isEmpty() ? until : Math.min(until, events.peek().at());
                double timer = harness.timers.stream().mapToDouble(at -> at).min().orElse(Double.MAX_VALUE);
                double now = Math.min(next, Math.max(timer, harness.now));
                harness.advanceTo(now);
                for (; processed < harness.sent.size(); processed++) {
                    PolicyHarness.Sent sent = harness.sent.get(processed);
                    PolicyHarness sender = harness;
                    if (sent.server() == 2) {
                        sends.add(sent.at());
                    }
                    boolean isReset = random.nextInt(10) == 0;
                    schedule(sent.at() + ANSWER_DELAY_MS, () -> {
                        if (sender != harness) {
                            return;   // the controller has restarted
                        }
                        if (isReset) {
                            harness.endAttempt(sent, Outcome.RESET);
                        } else {
                            harness.establish(sent);
                        }
                    });
                }
                if (!events.isEmpty() && events.peek().at() <= harness.now) {
                    events.poll().action().run();
                } else if (harness.now >= until) {
                    return;
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void allControllersTogetherKeepTheRampOfAStartingServer(long seed) {
        List<Double> sends = new ArrayList<>();
        Settings.Rules rules = PolicyHarness.rules();
        for (int number = 0; number < CONTROLLERS; number++) {
            Controller controller = new Controller(number, seed);
            SplittableRandom random = controller.random.split();
            RoutingPolicy.ListedServer starting = new RoutingPolicy.ListedServer(2, 2, ServerStatus.RUNNING, START_MS, 1);
            controller.schedule(START_MS + random.nextDouble() * 2000, () -> controller.harness.updateServers(starting));
            if (number % 3 == 1) {
                double restart = START_MS + 2000 + random.nextDouble() * 5000;
                controller.schedule(restart,
                        () -> controller.start(restart, List.of(PolicyHarness.runningServer(1), starting)));
            }
            controller.run(START_MS + SLOW_START_MS, sends);
        }
        sends.sort(null);
        assertTrue(sends.size() > 30, "too few requests to the starting server: " + sends.size());
        double fullSpeedRate = TOTAL_RATE / 2 / 1000;
        for (double start : sends) {
            double speedFraction = rules.slowStartFraction()
                    + (1 - rules.slowStartFraction()) * (start - START_MS) / rules.slowStartMs();
            double allowed = rules.overloadFactor() * speedFraction * fullSpeedRate * WINDOW_MS;
            long sent = sends.stream().filter(t -> t >= start && t < start + WINDOW_MS).count();
            assertTrue(sent <= allowed + 2 * Math.sqrt(allowed) + 2,
                    sent + " requests in the window from " + (start - START_MS) + " ms on, where " + allowed
                            + " are allowed");
        }
    }
}
