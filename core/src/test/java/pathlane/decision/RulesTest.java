package pathlane.decision;

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

/** The five rules as properties over seeded streams of calls, outcomes, drains and restarts. */
class RulesTest {

    private static final Gateway.Ending[] BAD = {Gateway.Ending.REJECTED, Gateway.Ending.NO_FREE_LINE,
        Gateway.Ending.UNREACHABLE, Gateway.Ending.RESET, Gateway.Ending.TIMED_OUT, Gateway.Ending.ERROR,
        Gateway.Ending.NOT_SENT};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void everyStreamKeepsTheRules(long seed) {
        Random random = new Random(seed);
        Bench bench = new Bench(Bench.settings(seed % 2 == 0 ? 500 : 0), seed);
        bench.list(Bench.running(1), Bench.running(2), Bench.running(3));
        Map<String, Double> deadline = new HashMap<>();
        Map<String, Bench.Sent> out = new HashMap<>();
        Map<String, Double> notBefore = new HashMap<>();
        Map<Long, Double> shutSince = new HashMap<>();
        Set<String> over = new HashSet<>();
        int seenSends = 0;
        int seenFinals = 0;
        int seenCancels = 0;
        int number = 0;
        for (double time = 5; time < 20_000; time += 5) {
            bench.until(time);
            if (time < 15_000 && random.nextInt(6) == 0) {
                String id = "c" + number++;
                double grace = 100 + random.nextInt(3000);
                deadline.put(id, time + grace);
                bench.call(id, random.nextInt(2), 1 + random.nextInt(3), grace);
            }
            if (random.nextInt(300) == 0) {
                long server = 1 + random.nextInt(3);
                boolean opens = shutSince.remove(server) != null;
                if (!opens) {
                    shutSince.put(server, time);
                }
                bench.change(new Gateway.Listed(server, (int) server,
                        opens ? Gateway.Mode.RUNNING : random.nextBoolean() ? Gateway.Mode.DRAINING
                                : Gateway.Mode.GONE, opens ? time : 0, 1));
            }
            for (Bench.Sent s : new ArrayList<>(out.values())) {
                boolean late = time >= deadline.get(s.call());
                if (late || random.nextInt(40) == 0) {
                    out.remove(s.call());
                    if (!late && random.nextInt(6) > 0) {
                        over.add(s.call());
                        bench.answer(s);
                    } else {
                        Gateway.Ending how = late ? Gateway.Ending.TIMED_OUT : BAD[random.nextInt(BAD.length)];
                        if (how == Gateway.Ending.RESET || how == Gateway.Ending.TIMED_OUT) {
                            notBefore.put(s.call(), time + 200);
                        }
                        bench.end(s, how, how == Gateway.Ending.REJECTED ? random.nextInt(400) : 0);
                    }
                }
            }
            for (; seenSends < bench.sent.size(); seenSends++) {
                Bench.Sent s = bench.sent.get(seenSends);
                assertFalse(over.contains(s.call()), "sent after its end: " + s);
                assertTrue(out.put(s.call(), s) == null, "two attempts out: " + s);
                assertTrue(s.at() >= notBefore.getOrDefault(s.call(), 0.0), "release not awaited: " + s);
                assertTrue(s.attempt() < 4, "too many attempts: " + s);
                assertFalse(shutSince.containsKey(s.server()) && s.at() > shutSince.get(s.server()),
                        "sent to a draining or gone server: " + s);
            }
            for (; seenFinals < bench.finals.size(); seenFinals++) {
                Bench.Final f = bench.finals.get(seenFinals);
                assertTrue(over.add(f.call()), "two final answers: " + f);
                assertFalse(out.containsKey(f.call()), "answered with an attempt out: " + f);
                assertTrue(f.at() <= deadline.get(f.call()) + 20, "answered late: " + f);
            }
            for (; seenCancels < bench.cancelled.size(); seenCancels++) {
                Bench.Sent s = out.remove(bench.cancelled.get(seenCancels));
                if (s != null) {
                    notBefore.put(s.call(), time + 200);
                    bench.end(s, Gateway.Ending.CANCELLED);
                }
            }
        }
        assertTrue(bench.sent.size() > 40, "the stream was played: " + bench.sent.size());
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
            Settings settings = Bench.settings(List.of(Bench.cls(1000, 1)), balancers, 4, 0);
            Bench bench = new Bench(settings, 100 + g);
            bench.list(Bench.running(1));
            for (int i = 0; i < 400; i++) {
                bench.until(g + i * 25.0 * balancers);
                bench.call("w" + i, 0, 1);
                bench.until(bench.now + 10);
                if (bench.last().call().equals("w" + i)) {
                    bench.answer(bench.last());
                }
            }
            double from = bench.now;
            bench.list(new Gateway.Listed(2, 2, Gateway.Mode.RUNNING, from, 1));
            for (int i = 0; i < 200; i++) {
                bench.until(from + i * 50.0);
                bench.call("c" + i, 0, 2);
            }
            bench.sent.stream().filter(s -> s.server() == 2).forEach(s -> sends.add(s.at() - from));
        }
        assertFalse(sends.isEmpty());
        for (double start : sends) {
            long inWindow = sends.stream().filter(t -> t >= start && t < start + 1000).count();
            assertTrue(inWindow <= 2 * 0.3 * 40, inWindow + " in the window from " + start);
        }
    }
}
