package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;

/** Regression tests for faults found where hundreds of controllers share few servers and each observes little traffic. */
class ManyControllersTest {

    private static final int CONTROLLER_COUNT = 250;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(500));

    private static Settings manyControllers() {
        return PolicyHarness.settings(List.of(PolicyHarness.callClass(1000, 1), PolicyHarness.callClass(2000, 3)),
                CONTROLLER_COUNT, 4,
                500);
    }

    private static RoutingPolicy.LoadReport slotReport(double free, double total) {
        return new RoutingPolicy.LoadReport(free, total, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /**
     * Guards against sustained overload by lone requests: each controller sent an overloaded server its next request as soon
     * as the last was answered, which made hundreds together.
     */
    @Test
    void lateAnswerToALoneRequestPacesARarelyUsedServer() {
        harness.listServers(PolicyHarness.runningServer(1));
        double last = Double.NEGATIVE_INFINITY;
        List<Double> intervals = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            int before = harness.sent.size();
            harness.advanceTo(i * 2000.0);
            harness.requestCall("c" + i, 0, 1);
            if (harness.sent.size() > before) {
                intervals.add(harness.now - last);
                last = harness.now;
                harness.advanceTo(harness.now + 1500);
                harness.establish(harness.lastSent());
            }
        }
        assertTrue(intervals.size() >= 3, "the server is still retried: " + intervals);
        assertTrue(intervals.get(1) > 4000 && intervals.get(2) > intervals.get(1), "growing intervals: " + intervals);
    }

    /** With many calls the overload conditions suffice, and pacing must not slow down a server that has recovered. */
    @Test
    void noPacingWithManyCalls() {
        harness.listServers(PolicyHarness.runningServer(1));
        for (int i = 0; i < 100; i++) {
            harness.advanceTo(i * 20.0);
            harness.requestCall("c" + i, 0, 1);
        }
        harness.advanceTo(2000);
        for (PolicyHarness.Sent request : List.copyOf(harness.sent)) {
            harness.establish(request);
        }
        assertEquals(0, harness.serverState(1).pacer.interval);
    }

    /** Guards against spreading the excess load of large servers evenly, which overloaded the small ones. */
    @Test
    void randomSelectionIsWeightedBySlots() {
        int sentToLarge = 0;
        for (int seed = 0; seed < 200; seed++) {
            PolicyHarness controller = new PolicyHarness(PolicyHarness.settings(0), seed);
            controller.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
            controller.policy.loadReported(0, 1, slotReport(100, 100));
            controller.policy.loadReported(0, 2, slotReport(900, 900));
            controller.requestCall("a", 0, 3);
            sentToLarge += controller.lastSent().server() == 2 ? 1 : 0;
        }
        assertTrue(sentToLarge > 160 && sentToLarge < 200,
                "of 200 calls, nine tenths go to the server with nine tenths of the slots: " + sentToLarge);
    }

    /** Guards against treating reported free slots as stale before the next report. */
    @Test
    void reportedFreeSlotsStayInForceUntilTheNextReport() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.policy.loadReported(0, 1, slotReport(0, 500));
        harness.advanceTo(2000);
        harness.requestCall("a", 0, 1);
        assertTrue(harness.sent.isEmpty(), "no slot is free");
        harness.policy.loadReported(harness.now, 1, slotReport(400, 500));
        assertEquals("a", harness.lastSent().call());
    }

    /** All controllers learn of a few free slots; random rounding of their shares lets about as many send as are free. */
    @Test
    void allControllersTogetherTakeTheReportedFreeSlots() {
        int sent = 0;
        for (int seed = 0; seed < CONTROLLER_COUNT; seed++) {
            PolicyHarness controller = new PolicyHarness(manyControllers(), seed);
            controller.listServers(PolicyHarness.runningServer(1));
            controller.policy.loadReported(0, 1, slotReport(25, 500));
            controller.requestCall("a", 0, 9);
            controller.requestCall("b", 0, 9);
            sent += controller.sent.size();
        }
        assertTrue(sent > 10 && sent < 45, "25 slots were free: " + sent);
    }

    /** Guards against overloading a region that has restarted: until the list showed it, it got four times its capacity. */
    @Test
    void resetOfAllOwnCallsStartsASlowStart() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("a", 0, 1);
        harness.advanceTo(30);
        harness.establish(harness.lastSent());
        assertFalse(harness.serverState(1).slowStart.isActive(harness.now));
        harness.endAttempt(harness.lastSent(), Outcome.RESET);
        assertTrue(harness.serverState(1).slowStart.isActive(harness.now));
    }

    /** Guards against lost answers that blocked their server until the client left. */
    @Test
    void lostAnswersDoNotBlockTheirServer() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("lost", 0, 1);
        harness.advanceTo(100);
        harness.policy.clientLeft(harness.now, "lost");
        harness.endAttempt(harness.sent.get(0), Outcome.CANCELLED);
        harness.requestCall("b", 0, 1);
        harness.advanceTo(130);
        harness.establish(harness.lastSent());
        harness.requestCall("lost too", 0, 1);
        harness.advanceTo(2000);
        for (int i = 0; i < 30; i++) {
            harness.advanceTo(harness.now + 500);
            harness.requestCall("c" + i, 0, 1);
        }
        assertTrue(harness.sent.size() > 3, "requests are sent while a lost one is outstanding");
    }

    /** Guards against calls that a stall delayed past their latency objective and that were sent before fresh ones. */
    @Test
    void afterAStallCallsWithinTheirObjectiveAreSentFirst() {
        harness.requestCall("typical", 0, 1);
        harness.stallUntil(1900);
        harness.requestCall("old", 0, 1, PolicyHarness.REMAINING_MS - 1800);
        harness.requestCall("recent", 0, 1, PolicyHarness.REMAINING_MS - 100);
        harness.listServers(PolicyHarness.runningServer(1));
        assertEquals("recent", harness.sent.get(0).call());
    }

    /** Hundreds of stalled controllers: all servers have just started, and two seconds of events arrive at once. */
    @Test
    void stalledControllersAndStartingServersKeepTheRules() {
        List<RoutingPolicy.ListedServer> startingServers = new ArrayList<>();
        for (long s = 1; s <= 12; s++) {
            startingServers.add(new RoutingPolicy.ListedServer(s, (int) s, ServerStatus.RUNNING, 1000, 1));
        }
        int sent = 0;
        for (int seed = 0; seed < CONTROLLER_COUNT; seed++) {
            PolicyHarness controller = new PolicyHarness(manyControllers(), seed);
            controller.advanceTo(1000);
            controller.listServers(startingServers.toArray(RoutingPolicy.ListedServer[]::new));
            controller.requestCall("first", 0, 1);
            controller.stallUntil(3000);
            for (int i = 0; i < 20; i++) {
                controller.requestCall("c" + i, i % 2, i % 12, PolicyHarness.REMAINING_MS - 100 * i);
            }
            int sentAfterStall = controller.sent.size();
            for (int i = 0; i < sentAfterStall; i++) {
                controller.endAttempt(controller.sent.get(i), Outcome.REJECTED, 300);
            }
            controller.advanceTo(9000);
            sent += sentAfterStall;
            long answeredCalls = controller.finalAnswers.stream().map(PolicyHarness.FinalAnswer::call).distinct().count();
            assertEquals(controller.finalAnswers.size(), answeredCalls, "one final answer per call");
            assertTrue(controller.finalAnswers.stream().allMatch(answer -> answer.at() <= 3000 + PolicyHarness.REMAINING_MS),
                    "in time");
        }
        assertTrue(sent <= CONTROLLER_COUNT, "no controller knows the servers' capacity yet: " + sent);
    }
}
