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

/** One test for each failure found where hundreds of gateways share few servers, and each sees little. */
class SizeTest {

    private static final int MANY = 250;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(500));

    private static Settings many() {
        return PolicyHarness.settings(List.of(PolicyHarness.cls(1000, 1), PolicyHarness.cls(2000, 3)), MANY, 4, 500);
    }

    private static RoutingPolicy.LoadReport lines(double free, double all) {
        return new RoutingPolicy.LoadReport(free, all, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Before, each gateway sent a jammed server a lone set-up as often as one was answered: hundreds together. */
    @Test
    void aLateLoneSetUpPacesAServerThatThisGatewaySeldomUses() {
        harness.list(PolicyHarness.running(1));
        double last = Double.NEGATIVE_INFINITY;
        List<Double> gaps = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            int before = harness.sent.size();
            harness.until(i * 2000.0);
            harness.call("c" + i, 0, 1);
            if (harness.sent.size() > before) {
                gaps.add(harness.now - last);
                last = harness.now;
                harness.until(harness.now + 1500);
                harness.answer(harness.last());
            }
        }
        assertTrue(gaps.size() >= 3, "tried again at times: " + gaps);
        assertTrue(gaps.get(1) > 4000 && gaps.get(2) > gaps.get(1), "ever farther apart: " + gaps);
    }

    /** Where calls are many the conditions see enough, and no pace holds a server that is well again. */
    @Test
    void noPaceWhereCallsAreMany() {
        harness.list(PolicyHarness.running(1));
        for (int i = 0; i < 100; i++) {
            harness.until(i * 20.0);
            harness.call("c" + i, 0, 1);
        }
        harness.until(2000);
        for (PolicyHarness.Sent s : List.copyOf(harness.sent)) {
            harness.answer(s);
        }
        assertEquals(0, harness.server(1).pacer.interval);
    }

    /** Before, the overflow of large servers was drawn evenly and jammed the small ones. */
    @Test
    void theLinesOfAServerWeighTheDraw() {
        int large = 0;
        for (int seed = 0; seed < 200; seed++) {
            PolicyHarness one = new PolicyHarness(PolicyHarness.settings(0), seed);
            one.list(PolicyHarness.running(1), PolicyHarness.running(2));
            one.policy.loadReported(0, 1, lines(100, 100));
            one.policy.loadReported(0, 2, lines(900, 900));
            one.call("a", 0, 3);
            large += one.last().server() == 2 ? 1 : 0;
        }
        assertTrue(large > 160 && large < 200, "of 200, nine tenths to nine tenths of the lines: " + large);
    }

    /** Before, what was told of free lines was taken for stale before it was told again. */
    @Test
    void toldLinesStayInForceUntilToldAgain() {
        harness.list(PolicyHarness.running(1));
        harness.policy.loadReported(0, 1, lines(0, 500));
        harness.until(2000);
        harness.call("a", 0, 1);
        assertTrue(harness.sent.isEmpty(), "no line is free");
        harness.policy.loadReported(harness.now, 1, lines(400, 500));
        assertEquals("a", harness.last().call());
    }

    /** A few free lines told to all are shared out by chance: about as many gateways send as lines are free. */
    @Test
    void allGatewaysTogetherTakeTheToldLines() {
        int sent = 0;
        for (int g = 0; g < MANY; g++) {
            PolicyHarness one = new PolicyHarness(many(), g);
            one.list(PolicyHarness.running(1));
            one.policy.loadReported(0, 1, lines(25, 500));
            one.call("a", 0, 9);
            one.call("b", 0, 9);
            sent += one.sent.size();
        }
        assertTrue(sent > 10 && sent < 45, "25 lines were free: " + sent);
    }

    /** Before, a region that restarted got four times what it could do until the list told it. */
    @Test
    void allOwnCallsCutMeanAColdStart() {
        harness.list(PolicyHarness.running(1));
        harness.call("a", 0, 1);
        harness.until(30);
        harness.answer(harness.last());
        assertFalse(harness.server(1).slowStart.isActive(harness.now));
        harness.end(harness.last(), Outcome.RESET);
        assertTrue(harness.server(1).slowStart.isActive(harness.now));
    }

    /** Before, each answer lost on the way barred its server until the caller had gone. */
    @Test
    void lostAnswersDoNotBarTheirServer() {
        harness.list(PolicyHarness.running(1));
        harness.call("lost", 0, 1);
        harness.until(100);
        harness.policy.clientLeft(harness.now, "lost");
        harness.end(harness.sent.get(0), Outcome.CANCELLED);
        harness.call("b", 0, 1);
        harness.until(130);
        harness.answer(harness.last());
        harness.call("lost too", 0, 1);
        harness.until(2000);
        for (int i = 0; i < 30; i++) {
            harness.until(harness.now + 500);
            harness.call("c" + i, 0, 1);
        }
        assertTrue(harness.sent.size() > 3, "sent on while one was out");
    }

    /** Before, calls that an own stall had held up past their aim were sent before fresh ones. */
    @Test
    void afterAStallThoseStillInTimeGoFirst() {
        harness.call("usual", 0, 1);
        harness.stallUntil(1900);
        harness.call("old", 0, 1, PolicyHarness.GRACE - 1800);
        harness.call("young", 0, 1, PolicyHarness.GRACE - 100);
        harness.list(PolicyHarness.running(1));
        assertEquals("young", harness.sent.get(0).call());
    }

    /** Hundreds of gateways, a list of servers all started at once, two seconds of events at one time. */
    @Test
    void aStalledCrowdAndAColdRegionBreakNothing() {
        List<RoutingPolicy.ListedServer> cold = new ArrayList<>();
        for (long s = 1; s <= 12; s++) {
            cold.add(new RoutingPolicy.ListedServer(s, (int) s, ServerStatus.RUNNING, 1000, 1));
        }
        int sent = 0;
        for (int g = 0; g < MANY; g++) {
            PolicyHarness one = new PolicyHarness(many(), g);
            one.until(1000);
            one.list(cold.toArray(RoutingPolicy.ListedServer[]::new));
            one.call("first", 0, 1);
            one.stallUntil(3000);
            for (int i = 0; i < 20; i++) {
                one.call("c" + i, i % 2, i % 12, PolicyHarness.GRACE - 100 * i);
            }
            int late = one.sent.size();
            for (int i = 0; i < late; i++) {
                one.end(one.sent.get(i), Outcome.REJECTED, 300);
            }
            one.until(9000);
            sent += late;
            long ended = one.finals.stream().map(PolicyHarness.Final::call).distinct().count();
            assertEquals(one.finals.size(), ended, "one final answer each");
            assertTrue(one.finals.stream().allMatch(f -> f.at() <= 3000 + PolicyHarness.GRACE), "in time");
        }
        assertTrue(sent <= MANY, "no gateway knows yet what a server can do: " + sent);
    }
}
