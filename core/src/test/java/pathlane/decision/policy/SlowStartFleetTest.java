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
 * Rule four for a fleet of thirty, in virtual time: they hear of the cold server up to 2 s late, one has five times the
 * traffic of the others, a third restart while it is cold and know only when it started, and one attempt in ten breaks and
 * is made again. What all send it in any window stays under what the settings allow then, and twice its root and two.
 */
class SlowStartFleetTest {

    private static final int GATEWAYS = 30;
    private static final int BUSY = 5;
    private static final double WARM_MS = 20_000;
    private static final double COLD_MS = 10_000;
    private static final double WINDOW_MS = 1000;
    /** What each of two servers gets, from all gateways together, a second: 40, as a warm one bears. */
    private static final double RATE = 80;
    private static final double WORK_MS = 30;

    private record Due(double at, long order, Runnable what) {}

    /** One gateway and its traffic. */
    private static final class Sender {
        private final SplittableRandom random;
        private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at)
                .thenComparingLong(Due::order));
        private final double every;
        private PolicyHarness harness;
        private long order;
        private int seen;

        Sender(int number, long seed) {
            random = new SplittableRandom(seed * 1000 + number);
            every = 1000 * (GATEWAYS - 1 + BUSY) / RATE / (number == 0 ? BUSY : 1);
            start(0, List.of(PolicyHarness.running(1)));
            at(random.nextDouble() * every, this::call);
        }

        void at(double time, Runnable what) {
            due.add(new Due(time, order++, what));
        }

        /** A gateway that knows nothing but the list. */
        void start(double now, List<RoutingPolicy.ListedServer> list) {
            harness = new PolicyHarness(PolicyHarness.settings(List.of(PolicyHarness.cls(1000, 1)), GATEWAYS, 4, 0),
                    random.nextLong());
            seen = 0;
            harness.until(now);
            harness.list(list.toArray(RoutingPolicy.ListedServer[]::new));
        }

        private void call() {
            harness.call("c" + order, 0, 1 + random.nextInt(2));
            at(harness.now - every * Math.log(1 - random.nextDouble()), this::call);
        }

        /** Plays on to a time; what was sent is answered after its work, and kept in {@code sends} if it was to server 2. */
        void play(double until, List<Double> sends) {
            while (true) {
                double next = due.isEmpty() ? until : Math.min(until, due.peek().at());
                double timer = harness.timers.stream().mapToDouble(b -> b).min().orElse(Double.MAX_VALUE);
                double now = Math.min(next, Math.max(timer, harness.now));
                harness.until(now);
                for (; seen < harness.sent.size(); seen++) {
                    PolicyHarness.Sent sent = harness.sent.get(seen);
                    PolicyHarness of = harness;
                    if (sent.server() == 2) {
                        sends.add(sent.at());
                    }
                    boolean breaks = random.nextInt(10) == 0;
                    at(sent.at() + WORK_MS, () -> {
                        if (of != harness) {
                            return;   // it has restarted
                        }
                        if (breaks) {
                            harness.end(sent, Outcome.RESET);
                        } else {
                            harness.answer(sent);
                        }
                    });
                }
                if (!due.isEmpty() && due.peek().at() <= harness.now) {
                    due.poll().what().run();
                } else if (harness.now >= until) {
                    return;
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void theFleetKeepsTheRampOfAColdServer(long seed) {
        List<Double> sends = new ArrayList<>();
        Settings.Rules rules = PolicyHarness.rules();
        for (int g = 0; g < GATEWAYS; g++) {
            Sender sender = new Sender(g, seed);
            SplittableRandom random = sender.random.split();
            RoutingPolicy.ListedServer cold = new RoutingPolicy.ListedServer(2, 2, ServerStatus.RUNNING, WARM_MS, 1);
            sender.at(WARM_MS + random.nextDouble() * 2000, () -> sender.harness.change(cold));
            if (g % 3 == 1) {
                double restart = WARM_MS + 2000 + random.nextDouble() * 5000;
                sender.at(restart, () -> sender.start(restart, List.of(PolicyHarness.running(1), cold)));
            }
            sender.play(WARM_MS + COLD_MS, sends);
        }
        sends.sort(null);
        assertTrue(sends.size() > 30, "the cold server was hardly sent to: " + sends.size());
        double warmRate = RATE / 2 / 1000;
        for (double start : sends) {
            double warmth =
                    rules.slowStartFraction() + (1 - rules.slowStartFraction()) * (start - WARM_MS) / rules.slowStartMs();
            double allowed = rules.overloadFactor() * warmth * warmRate * WINDOW_MS;
            long sent = sends.stream().filter(t -> t >= start && t < start + WINDOW_MS).count();
            assertTrue(sent <= allowed + 2 * Math.sqrt(allowed) + 2,
                    sent + " in the window from " + (start - WARM_MS) + " ms on, where " + allowed + " are allowed");
        }
    }
}
