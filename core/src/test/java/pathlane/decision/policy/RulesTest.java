package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;

/** The five rules as properties over seeded streams of calls, outcomes, drains and restarts. */
class RulesTest {

    private static final Outcome[] BAD = {Outcome.REJECTED, Outcome.NO_CAPACITY,
            Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT, Outcome.ERROR,
            Outcome.NOT_SENT};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void everyStreamKeepsTheRules(long seed) {
        Random random = new Random(seed);
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(seed % 2 == 0 ? 500 : 0), seed);
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2), PolicyHarness.running(3));
        Map<String, Double> deadline = new HashMap<>();
        Map<String, PolicyHarness.Sent> out = new HashMap<>();
        Map<String, Double> notBefore = new HashMap<>();
        Map<Long, Double> shutSince = new HashMap<>();
        Set<String> over = new HashSet<>();
        int seenSends = 0;
        int seenFinals = 0;
        int seenCancels = 0;
        int number = 0;
        for (double time = 5; time < 20_000; time += 5) {
            harness.until(time);
            if (time < 15_000 && random.nextInt(6) == 0) {
                String id = "c" + number++;
                double grace = 100 + random.nextInt(3000);
                deadline.put(id, time + grace);
                harness.call(id, random.nextInt(2), 1 + random.nextInt(3), grace);
            }
            if (random.nextInt(300) == 0) {
                long server = 1 + random.nextInt(3);
                boolean opens = shutSince.remove(server) != null;
                if (!opens) {
                    shutSince.put(server, time);
                }
                harness.change(new RoutingPolicy.ListedServer(server, (int) server,
                        opens ? ServerStatus.RUNNING : random.nextBoolean() ? ServerStatus.DRAINING
                                : ServerStatus.GONE,
                        opens ? time : 0, 1));
            }
            for (PolicyHarness.Sent s : new ArrayList<>(out.values())) {
                boolean late = time >= deadline.get(s.call());
                if (late || random.nextInt(40) == 0) {
                    out.remove(s.call());
                    if (!late && random.nextInt(6) > 0) {
                        over.add(s.call());
                        harness.answer(s);
                    } else {
                        Outcome how = late ? Outcome.TIMED_OUT : BAD[random.nextInt(BAD.length)];
                        if (how == Outcome.RESET || how == Outcome.TIMED_OUT) {
                            notBefore.put(s.call(), time + 200);
                        }
                        harness.end(s, how, how == Outcome.REJECTED ? random.nextInt(400) : 0);
                    }
                }
            }
            for (; seenSends < harness.sent.size(); seenSends++) {
                PolicyHarness.Sent s = harness.sent.get(seenSends);
                assertFalse(over.contains(s.call()), "sent after its end: " + s);
                assertTrue(out.put(s.call(), s) == null, "two attempts out: " + s);
                assertTrue(s.at() >= notBefore.getOrDefault(s.call(), 0.0), "release not awaited: " + s);
                assertTrue(s.attempt() < 4, "too many attempts: " + s);
                assertFalse(shutSince.containsKey(s.server()) && s.at() > shutSince.get(s.server()),
                        "sent to a draining or gone server: " + s);
            }
            for (; seenFinals < harness.finals.size(); seenFinals++) {
                PolicyHarness.Final f = harness.finals.get(seenFinals);
                assertTrue(over.add(f.call()), "two final answers: " + f);
                assertFalse(out.containsKey(f.call()), "answered with an attempt out: " + f);
                assertTrue(f.at() <= deadline.get(f.call()) + 20, "answered late: " + f);
            }
            for (; seenCancels < harness.cancelled.size(); seenCancels++) {
                PolicyHarness.Sent s = out.remove(harness.cancelled.get(seenCancels));
                if (s != null) {
                    notBefore.put(s.call(), time + 200);
                    harness.end(s, Outcome.CANCELLED);
                }
            }
        }
        assertTrue(harness.sent.size() > 40, "the stream was played: " + harness.sent.size());
        List<String> unanswered = deadline.keySet().stream().filter(id -> !over.contains(id)).sorted().toList();
        assertEquals(List.of(), unanswered);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20, 274})
    void allGatewaysTogetherKeepTheColdBudget(int balancers) {
        // Rule four, for a server that never answers: what all send in any window stays under the multiple
        // of the coldest capacity. Before, one warm server answered 40 set-ups a second to all gateways
        // together.
        List<Double> sends = new ArrayList<>();
        for (int g = 0; g < balancers; g++) {
            Settings settings = PolicyHarness.settings(List.of(PolicyHarness.cls(1000, 1)), balancers, 4, 0);
            PolicyHarness harness = new PolicyHarness(settings, 100 + g);
            harness.list(PolicyHarness.running(1));
            for (int i = 0; i < 400; i++) {
                harness.until(g + i * 25.0 * balancers);
                harness.call("w" + i, 0, 1);
                harness.until(harness.now + 10);
                if (harness.last().call().equals("w" + i)) {
                    harness.answer(harness.last());
                }
            }
            double from = harness.now;
            harness.list(new RoutingPolicy.ListedServer(2, 2, ServerStatus.RUNNING, from, 1));
            for (int i = 0; i < 200; i++) {
                harness.until(from + i * 50.0);
                harness.call("c" + i, 0, 2);
            }
            harness.sent.stream().filter(s -> s.server() == 2).forEach(s -> sends.add(s.at() - from));
        }
        assertFalse(sends.isEmpty());
        for (double start : sends) {
            long inWindow = sends.stream().filter(t -> t >= start && t < start + 1000).count();
            assertTrue(inWindow <= 2 * 0.3 * 40, inWindow + " in the window from " + start);
        }
    }
}
