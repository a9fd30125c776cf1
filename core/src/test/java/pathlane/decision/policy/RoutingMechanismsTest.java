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

/**
 * Normal operation of the routing policy: the paper's conditions against hand-computed values, overload levels, rate gate,
 * guaranteed rates and server selection.
 */
class RoutingMechanismsTest {

    private static final double[] ONE_LIMIT = {1000};
    private static final double[] TWO_LIMITS = {1000, 3000};

    @Test
    void conditionFourWithOneLimit() {
        // N = 9, x = 100: 900 < 1000 holds, 900 < 900 does not; N = 10: 1000 < 1000 does not.
        double[] none = {0};
        assertTrue(OverloadDetector.isFeasible(ONE_LIMIT, none, t -> 9, 100, 1));
        assertFalse(OverloadDetector.isFeasible(ONE_LIMIT, none, t -> 9, 100, 0.9));
        assertFalse(OverloadDetector.isFeasible(ONE_LIMIT, none, t -> 10, 100, 1));
        assertTrue(OverloadDetector.isFeasible(ONE_LIMIT, none, t -> 1000, 0, 1),
                "the service time x starts at 0: requests may be sent");
    }

    @Test
    void conditionFourCountsTheGuaranteedRatesOfShorterLimits() {
        // k = 2: N(3000) = 20 and 0.005 per ms over 3000 - 1000 ms make 30; 30 x 100 = 3000 is not below 3000.
        // Condition (6) stays small: N(3000) - N(2000) = 0, 0.0049 x (1000 + 0) for j = 1.
        double[] guaranteed = {0.005, 0};
        assertFalse(OverloadDetector.isFeasible(TWO_LIMITS, guaranteed, t -> t < 3000 ? 20 / 20.0 : 20, 100, 1));
        // With 19 it is 29 x 100 = 2900 < 3000, but (6): N(3000) - N(2000) = 18, plus 0.005 x min(1000, 2000) = 5:
        // 23 x 100 = 2300 is not below 1000.
        assertFalse(OverloadDetector.isFeasible(TWO_LIMITS, guaranteed, t -> t < 3000 ? 1 : 19, 100, 1));
        // Due times spread so that (6) counts 19 - 15 = 4, plus 5: 9 x 100 = 900 < 1000; (4) holds as well with
        // N(1000) = 9.
        assertTrue(OverloadDetector.isFeasible(TWO_LIMITS, guaranteed, t -> t <= 1000 ? 9 : t <= 2000 ? 15 : 19, 100, 1));
        assertFalse(OverloadDetector.isFeasible(TWO_LIMITS, guaranteed, t -> t <= 1000 ? 9 : t <= 2000 ? 15 : 19, 100, 0.9));
    }

    @Test
    void conditionSixFailsAlone() {
        // (4): N(1000) = 2, N(3000) = 14: 200 < 1000 and 1400 < 3000. (6): 14 - 3 = 11, 11 x 100 = 1100 >= 1000.
        double[] none = {0, 0};
        assertFalse(OverloadDetector.isFeasible(TWO_LIMITS, none, t -> t <= 1000 ? 2 : t <= 2000 ? 3 : 14, 100, 1));
        assertTrue(OverloadDetector.isFeasible(TWO_LIMITS, none, t -> t <= 1000 ? 2 : t <= 2000 ? 8 : 14, 100, 1));
    }

    @Test
    void fiveConsecutiveDetectionsChangeTheLevel() {
        ServerState server = listedServer(new PolicyHarness(PolicyHarness.settings(0)));
        for (int i = 0; i < 4; i++) {
            server.overload.record(Level.SEVERE);
        }
        assertEquals(Level.NONE, server.overload.value());
        server.overload.record(Level.NONE);
        for (int i = 0; i < 4; i++) {
            server.overload.record(Level.SEVERE);
        }
        assertEquals(Level.NONE, server.overload.value(), "the detection of level 0 reset the count");
        server.overload.record(Level.SEVERE);
        assertEquals(Level.SEVERE, server.overload.value());
    }

    @Test
    void levelOneShedsOneClassPerStepLowestUtilityFirst() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = listedServer(harness);
        server.overload.set(Level.MARGINAL);
        server.advance(1000);
        assertArrayEquals(new boolean[] {true, false}, server.gate.isShed);
        server.advance(1050);
        assertArrayEquals(new boolean[] {true, false}, server.gate.isShed, "a step is a tenth of the shortest limit");
        server.advance(1100);
        assertArrayEquals(new boolean[] {true, true}, server.gate.isShed);
    }

    @Test
    void levelTwoShedsAllAndLevelZeroRestoresTheHighestUtilityFirst() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = listedServer(harness);
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
    void guaranteedRatesAreTenToFive() {
        ServerState server = listedServer(new PolicyHarness(PolicyHarness.settings(0)));
        setAnswerRate(server, 0.03, 0);
        // Half of 0.03 per ms, shared 10 : 5 between the class of higher utility (class 1) and the other.
        assertEquals(0.010, server.gate.guaranteedRate(1), 1e-9);
        assertEquals(0.005, server.gate.guaranteedRate(0), 1e-9);
    }

    @Test
    void shedClassPassesOneRequestPerInterval() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = listedServer(harness);
        harness.now = 1000;
        server.overload.set(Level.SEVERE);
        setAnswerRate(server, 0.03, 1000);
        server.advance(1000);
        harness.requestCall("a", 0, 1);
        harness.requestCall("b", 0, 1);
        assertEquals(1, harness.sent.size(), "the second is held: one passes every 200 ms");
    }

    /**
     * Guards against levels that hardly ever rose: the check before each send keeps the conditions true, so that overload
     * is detected only if arrivals are tested as well.
     */
    @Test
    void arrivalsThatCannotBeAdmittedRaiseTheLevel() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        ServerState server = listedServer(harness);
        harness.requestCall("slow", 0, 1);
        harness.advanceTo(950);
        harness.establish(harness.lastSent());
        for (int i = 0; i < 4; i++) {
            harness.requestCall("c" + i, 0, 1);
        }
        assertEquals(Level.NONE, server.overload.value(), "four detections");
        harness.requestCall("c4", 0, 1);
        assertEquals(Level.MARGINAL, server.overload.value(), "1 x 950 is below 1000 but not below 900");
        assertTrue(server.gate.isShed[0] && !server.gate.isShed[1], "the class of lowest utility first");
    }

    @Test
    void preferredServerIsUsedWhileItPerformsWell() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
        for (int i = 0; i < 10; i++) {
            harness.requestCall("c" + i, 0, 2);
            assertEquals(2, harness.lastSent().server());
            harness.advanceTo(harness.now + 20);
            harness.establish(harness.lastSent());
        }
    }

    @Test
    void slowPreferredServerIsReplacedByRandomSelection() {
        int sentToSecond = 0;
        for (int seed = 0; seed < 40; seed++) {
            PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0), seed);
            harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
            harness.requestCall("a", 0, 1);
            harness.requestCall("b", 0, 2);
            harness.advanceTo(20);
            harness.establish(harness.sent.get(1));
            harness.advanceTo(800);
            harness.establish(harness.sent.get(0));
            harness.requestCall("c", 0, 1);
            sentToSecond += harness.lastSent().server() == 2 ? 1 : 0;
        }
        assertTrue(sentToSecond >= 30, "calls sent past the slow preferred server: " + sentToSecond + " of 40");
    }

    @Test
    void invalidSettingsAreRejectedByName() {
        assertTrue(errorOf(() -> PolicyHarness.settings(List.of(), 1, 1, 0))
                .contains("classes"));
        assertTrue(errorOf(() -> PolicyHarness.callClass(0, 1)).contains("aim"));
        assertTrue(
                errorOf(() -> new Settings.Rules(0.3, PolicyHarness.ms(1000), 2, Duration.ZERO, PolicyHarness.ms(200)))
                        .contains("fall-ms"));
    }

    private static String errorOf(org.junit.jupiter.api.function.Executable settings) {
        return assertThrows(IllegalArgumentException.class, settings).getMessage();
    }

    /** Sets the server's answer rate, in requests per millisecond, at this time: each answer counts 1 / 4000 ms. */
    private static void setAnswerRate(ServerState server, double rate, double now) {
        for (int i = 0; i < rate * 4000; i++) {
            server.answerRate.count(now);
        }
    }

    private static ServerState listedServer(PolicyHarness harness) {
        harness.listServers(PolicyHarness.runningServer(1));
        return harness.serverState(1);
    }
}
