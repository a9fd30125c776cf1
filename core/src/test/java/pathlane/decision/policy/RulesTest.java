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

/**
 * The policy's five rules as properties that must hold for any sequence of events, checked on seeded random sequences of
 * calls, outcomes, drains and restarts, and for servers in slow start.
 */
class RulesTest {

    private static final Outcome[] FAILURES = {Outcome.REJECTED, Outcome.NO_CAPACITY,
            Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT, Outcome.ERROR,
            Outcome.NOT_SENT};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void everyEventSequenceKeepsTheRules(long seed) {
        Random random = new Random(seed);
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(seed % 2 == 0 ? 500 : 0), seed);
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2), PolicyHarness.runningServer(3));
        Map<String, Double> deadlines = new HashMap<>();
        Map<String, PolicyHarness.Sent> outstanding = new HashMap<>();
        Map<String, Double> notBefore = new HashMap<>();
        Map<Long, Double> unavailableSince = new HashMap<>();
        Set<String> finished = new HashSet<>();
        int checkedSends = 0;
        int checkedAnswers = 0;
        int checkedCancels = 0;
        int callCount = 0;
        for (double time = 5; time < 20_000; time += 5) {
            harness.advanceTo(time);
            if (time < 15_000 && random.nextInt(6) == 0) {
                String id = "c" + callCount++;
                double remainingMs = 100 + random.nextInt(3000);
                deadlines.put(id, time + remainingMs);
                harness.requestCall(id, random.nextInt(2), 1 + random.nextInt(3), remainingMs);
            }
            if (random.nextInt(300) == 0) {
                long server = 1 + random.nextInt(3);
                boolean isBack = unavailableSince.remove(server) != null;
                if (!isBack) {
                    unavailableSince.put(server, time);
                }
                harness.updateServers(new RoutingPolicy.ListedServer(server, (int) server,
                        isBack ? ServerStatus.RUNNING : random.nextBoolean() ? ServerStatus.DRAINING
                                : ServerStatus.GONE,
                        isBack ? time : 0, 1));
            }
            for (PolicyHarness.Sent s : new ArrayList<>(outstanding.values())) {
                boolean isLate = time >= deadlines.get(s.call());
                if (isLate || random.nextInt(40) == 0) {
                    outstanding.remove(s.call());
                    if (!isLate && random.nextInt(6) > 0) {
                        finished.add(s.call());
                        harness.establish(s);
                    } else {
                        Outcome outcome = isLate ? Outcome.TIMED_OUT : FAILURES[random.nextInt(FAILURES.length)];
                        if (outcome == Outcome.RESET || outcome == Outcome.TIMED_OUT) {
                            notBefore.put(s.call(), time + 200);
                        }
                        harness.endAttempt(s, outcome, outcome == Outcome.REJECTED ? random.nextInt(400) : 0);
                    }
                }
            }
            for (; checkedSends < harness.sent.size(); checkedSends++) {
                PolicyHarness.Sent s = harness.sent.get(checkedSends);
                assertFalse(finished.contains(s.call()), "sent after its end: " + s);
                assertTrue(outstanding.put(s.call(), s) == null, "two attempts outstanding: " + s);
                assertTrue(s.at() >= notBefore.getOrDefault(s.call(), 0.0), "sent before the last attempt's release: " + s);
                assertTrue(s.attempt() < 4, "too many attempts: " + s);
                assertFalse(unavailableSince.containsKey(s.server()) && s.at() > unavailableSince.get(s.server()),
                        "sent to a draining or gone server: " + s);
            }
            for (; checkedAnswers < harness.finalAnswers.size(); checkedAnswers++) {
                PolicyHarness.FinalAnswer answer = harness.finalAnswers.get(checkedAnswers);
                assertTrue(finished.add(answer.call()), "two final answers: " + answer);
                assertFalse(outstanding.containsKey(answer.call()), "answered with an attempt outstanding: " + answer);
                assertTrue(answer.at() <= deadlines.get(answer.call()) + 20, "answered late: " + answer);
            }
            for (; checkedCancels < harness.cancelled.size(); checkedCancels++) {
                PolicyHarness.Sent s = outstanding.remove(harness.cancelled.get(checkedCancels));
                if (s != null) {
                    notBefore.put(s.call(), time + 200);
                    harness.endAttempt(s, Outcome.CANCELLED);
                }
            }
        }
        assertTrue(harness.sent.size() > 40, "too few requests were sent: " + harness.sent.size());
        List<String> unanswered = deadlines.keySet().stream().filter(id -> !finished.contains(id)).sorted().toList();
        assertEquals(List.of(), unanswered);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20, 274})
    void allControllersTogetherKeepTheSlowStartBudget(int controllerCount) {
        // The slow-start rule, for a starting server that never answers: in any window all controllers together send at most
        // the overload factor times its initial capacity. Beforehand, a fully started server answers 40 requests a second of
        // all controllers together.
        List<Double> sends = new ArrayList<>();
        for (int g = 0; g < controllerCount; g++) {
            Settings settings = PolicyHarness.settings(List.of(PolicyHarness.callClass(1000, 1)), controllerCount, 4, 0);
            PolicyHarness harness = new PolicyHarness(settings, 100 + g);
            harness.listServers(PolicyHarness.runningServer(1));
            for (int i = 0; i < 400; i++) {
                harness.advanceTo(g + i * 25.0 * controllerCount);
                harness.requestCall("w" + i, 0, 1);
                harness.advanceTo(harness.now + 10);
                if (harness.lastSent().call().equals("w" + i)) {
                    harness.establish(harness.lastSent());
                }
            }
            double startedAt = harness.now;
            harness.listServers(new RoutingPolicy.ListedServer(2, 2, ServerStatus.RUNNING, startedAt, 1));
            for (int i = 0; i < 200; i++) {
                harness.advanceTo(startedAt + i * 50.0);
                harness.requestCall("c" + i, 0, 2);
            }
            harness.sent.stream().filter(s -> s.server() == 2).forEach(s -> sends.add(s.at() - startedAt));
        }
        assertFalse(sends.isEmpty());
        for (double start : sends) {
            long inWindow = sends.stream().filter(t -> t >= start && t < start + 1000).count();
            assertTrue(inWindow <= 2 * 0.3 * 40, inWindow + " in the window from " + start);
        }
    }
}
