package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.decision.policy.OverloadDetector.Level;

/** The ordinary path: the paper's conditions against hand-worked numbers, levels, gate, floors and choice. */
class MechanismTest {

    private static final double[] ONE = {1000};
    private static final double[] TWO = {1000, 3000};

    @Test
    void conditionFourWithOneLimit() {
        // N = 9, x = 100: 900 < 1000 holds, 900 < 900 does not; N = 10: 1000 < 1000 does not.
        double[] none = {0};
        assertTrue(OverloadDetector.isFeasible(ONE, none, t -> 9, 100, 1));
        assertFalse(OverloadDetector.isFeasible(ONE, none, t -> 9, 100, 0.9));
        assertFalse(OverloadDetector.isFeasible(ONE, none, t -> 10, 100, 1));
        assertTrue(OverloadDetector.isFeasible(ONE, none, t -> 1000, 0, 1), "x starts at nought: sending is open");
    }

    @Test
    void conditionFourCountsTheFloorsOfShorterLimits() {
        // k = 2: N(3000) = 20 and 0.005 a ms over 3000 - 1000 ms make 30; 30 x 100 = 3000 is not under 3000.
        // Condition (6) stays small: N(3000) - N(2000) = 0, 0.0049 x (1000 + 0) for j = 1.
        double[] floors = {0.005, 0};
        assertFalse(OverloadDetector.isFeasible(TWO, floors, t -> t < 3000 ? 20 / 20.0 : 20, 100, 1));
        // With 19 it is 29 x 100 = 2900 < 3000, but (6): N(3000) - N(2000) = 18, plus 0.005 x min(1000,
        // 2000) = 5: 23 x 100 = 2300 is not under 1000.
        assertFalse(OverloadDetector.isFeasible(TWO, floors, t -> t < 3000 ? 1 : 19, 100, 1));
        // Near deadlines spread so that (6) sees 19 - 15 = 4, plus 5: 9 x 100 = 900 < 1000; N(1000) = 9
        // holds too.
        assertTrue(OverloadDetector.isFeasible(TWO, floors, t -> t <= 1000 ? 9 : t <= 2000 ? 15 : 19, 100, 1));
        assertFalse(OverloadDetector.isFeasible(TWO, floors, t -> t <= 1000 ? 9 : t <= 2000 ? 15 : 19, 100, 0.9));
    }

    @Test
    void conditionSixFailsAlone() {
        // (4): N(1000) = 2, N(3000) = 14: 200 < 1000 and 1400 < 3000. (6): 14 - 3 = 11, 11 x 100 = 1100 >=
        // 1000.
        double[] none = {0, 0};
        assertFalse(OverloadDetector.isFeasible(TWO, none, t -> t <= 1000 ? 2 : t <= 2000 ? 3 : 14, 100, 1));
        assertTrue(OverloadDetector.isFeasible(TWO, none, t -> t <= 1000 ? 2 : t <= 2000 ? 8 : 14, 100, 1));
    }

    @Test
    void fiveDetectionsInARowChangeTheLevel() {
        ServerState server = server(new PolicyHarness(PolicyHarness.settings(0)));
        for (int i = 0; i < 4; i++) {
            server.overload.record(Level.SEVERE);
        }
        assertEquals(Level.NONE, server.overload.value());
        server.overload.record(Level.NONE);
        for (int i = 0; i < 4; i++) {
            server.overload.record(Level.SEVERE);
        }
        assertEquals(Level.NONE, server.overload.value(), "the one at level 0 broke the row");
        server.overload.record(Level.SEVERE);
        assertEquals(Level.SEVERE, server.overload.value());
    }

    @Test
    void levelOneGapsTheLowestRankedFirstAndOneMoreEachStep() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = server(harness);
        server.overload.set(Level.MARGINAL);
        server.advance(1000);
        assertArrayEquals(new boolean[] {true, false}, server.gate.isShed);
        server.advance(1050);
        assertArrayEquals(new boolean[] {true, false}, server.gate.isShed, "a step is a tenth of the shortest limit");
        server.advance(1100);
        assertArrayEquals(new boolean[] {true, true}, server.gate.isShed);
    }

    @Test
    void levelTwoGapsAllAndLevelZeroLiftsTheDearestFirst() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = server(harness);
        server.overload.set(Level.SEVERE);
        server.advance(1000);
        assertArrayEquals(new boolean[] {true, true}, server.gate.isShed);
        server.overload.set(Level.NONE);
        server.advance(1100);
        assertArrayEquals(new boolean[] {true, false}, server.gate.isShed);
        server.advance(1200);
        assertArrayEquals(new boolean[] {false, false}, server.gate.isShed);
    }

    @Test
    void floorsKeepTenToFive() {
        ServerState server = server(new PolicyHarness(PolicyHarness.settings(0)));
        answersSteadily(server, 0.03, 0);
        // Half of 0.03 a ms, shared 10 : 5 for the dearer (class 1) and the cheaper.
        assertEquals(0.010, server.gate.guaranteedRate(1), 1e-9);
        assertEquals(0.005, server.gate.guaranteedRate(0), 1e-9);
    }

    @Test
    void aGapPassesTheFirstCallOnly() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = server(harness);
        harness.now = 1000;
        server.overload.set(Level.SEVERE);
        answersSteadily(server, 0.03, 1000);
        server.advance(1000);
        harness.call("a", 0, 1);
        harness.call("b", 0, 1);
        assertEquals(1, harness.sent.size(), "the second is held: one each 200 ms");
    }

    /** Before, levels hardly ever rose: the test before each send keeps the conditions, so arrivals are
     * tested too. */
    @Test
    void arrivalsThatCouldNotBeAdmittedRaiseTheLevel() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = server(harness);
        harness.call("slow", 0, 1);
        harness.until(950);
        harness.answer(harness.last());
        for (int i = 0; i < 4; i++) {
            harness.call("c" + i, 0, 1);
        }
        assertEquals(Level.NONE, server.overload.value(), "four detections");
        harness.call("c4", 0, 1);
        assertEquals(Level.MARGINAL, server.overload.value(), "1 x 950 is under 1000 but not under 900");
        assertTrue(server.gate.isShed[0] && !server.gate.isShed[1], "the lowest-ranked class first");
    }

    @Test
    void firstChoiceWhileGood() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
        for (int i = 0; i < 10; i++) {
            harness.call("c" + i, 0, 2);
            assertEquals(2, harness.last().server());
            harness.until(harness.now + 20);
            harness.answer(harness.last());
        }
    }

    @Test
    void slowFirstChoiceGivesWayToTheDraw() {
        int second = 0;
        for (int seed = 0; seed < 40; seed++) {
            PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0), seed);
            harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
            harness.call("a", 0, 1);
            harness.call("b", 0, 2);
            harness.until(20);
            harness.answer(harness.sent.get(1));
            harness.until(800);
            harness.answer(harness.sent.get(0));
            harness.call("c", 0, 1);
            second += harness.last().server() == 2 ? 1 : 0;
        }
        assertTrue(second >= 30, "the slow first choice is passed over: " + second + " of 40");
    }

    @Test
    void unusableSettingsAreRefusedByName() {
        assertTrue(refusal(() -> PolicyHarness.settings(List.of(), 1, 1, 0))
                .contains("classes"));
        assertTrue(refusal(() -> PolicyHarness.cls(0, 1)).contains("aim"));
        assertTrue(
                refusal(() -> new Settings.Rules(0.3, PolicyHarness.ms(1000), 2, Duration.ZERO, PolicyHarness.ms(200)))
                        .contains("fall-ms"));
    }

    private static String refusal(org.junit.jupiter.api.function.Executable settings) {
        return assertThrows(IllegalArgumentException.class, settings).getMessage();
    }

    /** Has the server answer at this rate, in requests a millisecond, at this time: each counts 1 / 4000 ms. */
    private static void answersSteadily(ServerState server, double rate, double now) {
        for (int i = 0; i < rate * 4000; i++) {
            server.answerRate.count(now);
        }
    }

    private static ServerState server(PolicyHarness harness) {
        harness.list(PolicyHarness.running(1));
        return harness.server(1);
    }
}
