package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.OverloadDetector.Level;

/** One test for each failure found, and for odd but legal events. */
class RoutingFaultsTest {

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(500));

    /** Before, a call with 78 ms left was held while the next timer was 150 ms off. */
    @Test
    void aHeldCallIsAnsweredInTimeHoweverShort() {
        harness.until(50);
        harness.call("long", 0, 1);
        harness.until(60);
        harness.call("short", 0, 1, 78);
        harness.until(138);
        assertTrue(harness.finals.stream().anyMatch(f -> f.call().equals("short") && f.at() <= 138));
    }

    /** An own stall while calls are held: the hold ends so early that two thirds of their time are left. */
    @Test
    void aStallHardlyOutlastsAHeldCall() {
        harness.call("a", 0, 1);
        harness.stallUntil(PolicyHarness.GRACE * 0.7);
        assertEquals(1, harness.finals.size());
    }

    /** A stalled gateway finds its set-ups near their deadlines: that is no detection. */
    @Test
    void aStallIsNoOverload() {
        harness.list(PolicyHarness.running(1));
        warm(1);
        harness.call("a", 0, 1);
        harness.stallUntil(harness.now + 2000);
        harness.answer(harness.last());
        assertEquals(Level.NONE, harness.server(1).overload.value());
        harness.call("b", 0, 1);
        assertEquals("b", harness.last().call());
    }

    /** Before, every server that was ever listed was kept, and looked at on every event. */
    @Test
    void serversLongGoneAreForgotten() {
        for (int id = 1; id <= 200; id++) {
            harness.change(PolicyHarness.running(id + 1), new RoutingPolicy.ListedServer(id, id, ServerStatus.GONE, 0, 1));
            harness.until(id * 1000);
        }
        assertTrue(harness.policy.cluster.servers.size() <= 13, "one a second, remembered for the 10 s of a cold start");
        assertTrue(harness.policy.cluster.servers.containsKey(201L));
    }

    @Test
    void leaversAreCalledOffAndNotCounted() {
        harness.list(PolicyHarness.running(1));
        harness.call("a", 0, 1);
        harness.policy.clientLeft(harness.now, "a");
        assertEquals(List.of("a"), harness.cancelled);
        assertTrue(harness.server(1).unanswered.isEmpty());
        harness.end(harness.last(), Outcome.CANCELLED);
        harness.until(5000);
        assertEquals(List.of(), harness.finals);
    }

    /** Before, few events came through the gaps and level 2 outlived its cause by many seconds. */
    @Test
    void anIdleServerLeavesItsLevelInFiveSteps() {
        harness.list(PolicyHarness.running(1));
        warm(1);
        ServerState server = harness.server(1);
        server.overload.set(Level.SEVERE);
        server.advance(harness.now);
        for (int i = 0; i < 10; i++) {
            server.advance(harness.now + i * 50);
        }
        assertEquals(Level.NONE, server.overload.value());
    }

    /** Before, a stale x over the limit barred every send to a server that had long been idle. */
    @Test
    void aLoneSetUpRenewsTheDelay() {
        harness.list(PolicyHarness.running(1));
        harness.call("a", 0, 1);
        harness.until(1200);
        harness.answer(harness.last());
        harness.call("b", 0, 1);
        assertEquals("a", harness.last().call(), "not within as long as the last one took");
        harness.until(60_000);
        harness.call("c", 0, 1);
        assertEquals("c", harness.last().call());
        harness.call("d", 0, 1);
        assertEquals("c", harness.last().call(), "a lone one");
    }

    /** Before, x fell back to nought after a second and two set-ups at once went to a slow server. */
    @Test
    void theLastSampleIsKept() {
        harness.list(PolicyHarness.running(1));
        harness.call("a", 0, 1);
        harness.until(1200);
        harness.answer(harness.last());
        harness.until(9000);
        harness.call("b", 0, 1);
        harness.call("c", 0, 1);
        assertEquals("b", harness.last().call());
    }

    @Test
    void aStatedWaitIsKept() {
        harness.list(PolicyHarness.running(1));
        harness.call("a", 0, 1);
        harness.end(harness.last(), Outcome.REJECTED, 4000);
        for (int i = 0; i < 100; i++) {
            harness.until(i * 100.0);
            harness.call("b" + i, 0, 1);
        }
        assertTrue(harness.sent.size() > 1, "tried again");
        assertTrue(harness.sent.get(1).at() >= 4000, "no sooner than stated: " + harness.sent.get(1));
    }

    /** Before, refusals without a stated wait were met with a new set-up each 125 ms. */
    @Test
    void refusalsInARowDoubleThePause() {
        harness.list(PolicyHarness.running(1));
        for (int i = 0; i < 400; i++) {
            int before = harness.sent.size();
            harness.until(i * 25.0);
            harness.call("c" + i, 0, 1);
            for (int s = before; s < harness.sent.size(); s++) {
                harness.end(harness.sent.get(s), Outcome.REJECTED);
            }
        }
        assertTrue(harness.sent.size() <= 8 && harness.sent.size() >= 4,
                "set-ups in ten seconds of refusals: " + harness.sent.size());
    }

    /** Before, "no free line" was taken for a jam, and then hundreds a second rushed for single lines. */
    @Test
    void noFreeLineIsNoFailure() {
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
        harness.call("a", 0, 1);
        harness.end(harness.last(), Outcome.NO_CAPACITY);
        assertEquals(2, harness.last().server());
        assertEquals(0, harness.server(1).backoff.failures());
        harness.policy.loadReported(harness.now, 1,
                new RoutingPolicy.LoadReport(40, 100, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
        harness.call("b", 0, 1);
        assertEquals(1, harness.last().server());
    }

    /** Before, standing calls that were cut made a server 'cold' for its whole warm-up though it never
     * restarted. */
    @Test
    void cutCallsMakeNoServerCold() {
        harness.list(PolicyHarness.running(1));
        warm(1);
        harness.call("a", 0, 1);
        harness.until(harness.now + 30);
        harness.answer(harness.last());
        harness.end(harness.last(), Outcome.RESET);
        harness.until(harness.now + 1000);
        assertTrue(!harness.server(1).slowStart.isActive(harness.now));
        harness.call("b", 0, 1);
        assertEquals("b", harness.last().call());
    }

    /** Before, each call to a number whose lines were all engaged was tried at server after server. */
    @Test
    void anEngagedNumberIsGappedAndNotTriedElsewhere() {
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
        for (int i = 0; i < 100; i++) {
            harness.until(i * 50.0);
            int before = harness.sent.size();
            harness.policy.requestArrived(harness.now, new RoutingPolicy.Request("c" + i, 0, "hot", 3000, 1, false));
            if (harness.sent.size() > before) {
                harness.end(harness.last(), Outcome.BUSY);
            }
        }
        assertTrue(harness.sent.size() <= 5, "tries in five seconds: " + harness.sent.size());
        assertEquals(100, harness.finals.size());
        harness.call("other", 0, 1);
        assertEquals("other", harness.last().call());
    }

    /** Before, callers who dialled again after their aim took the place of fresh ones. */
    @Test
    void freshCallsGoBeforeThoseDialledAgainTooLate() {
        harness.policy.requestArrived(0, new RoutingPolicy.Request("first", 0, "again", 3000, 1, false));
        harness.until(1000);
        assertEquals(1, harness.finals.size(), "no server known: refused");
        harness.until(1500);
        harness.policy.requestArrived(harness.now, new RoutingPolicy.Request("second", 0, "again", 3000, 1, false));
        harness.until(1510);
        harness.call("fresh", 0, 1);
        harness.list(PolicyHarness.running(1));
        assertEquals("fresh", harness.sent.get(0).call());
    }

    /** A server that answers nothing gets no more once its oldest set-up has waited nearly a limit. */
    @Test
    void aSilentServerIsLeft() {
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
        warm(2);
        harness.call("a", 0, 1);
        assertEquals(1, harness.last().server());
        harness.until(harness.now + 460);
        long before = harness.sentTo(1);
        for (int i = 0; i < 20; i++) {
            harness.call("b" + i, 0, 1);
            harness.until(harness.now + 50);
            harness.sent.stream().filter(s -> s.server() == 2).forEach(harness::answer);
        }
        assertEquals(before, harness.sentTo(1));
    }

    /** Before, set-ups to a slow server were called off before their answer, so that nothing was learned of
     * it. */
    @Test
    void aSlowServerIsGivenTimeToAnswer() {
        harness.list(PolicyHarness.running(1), PolicyHarness.running(2));
        warm(2);
        harness.call("a", 0, 1);
        harness.until(harness.now + 1300);
        assertEquals(List.of(), harness.cancelled);
    }

    /** Before, one lost set-up barred its server for the three seconds that its caller would wait. */
    @Test
    void anOvertakenSetUpIsCalledOffAndTriedAgain() {
        harness.list(PolicyHarness.running(1));
        harness.call("lost", 0, 1);
        harness.until(150);
        harness.call("b", 0, 1);
        harness.until(200);
        harness.answer(harness.last());
        assertEquals(List.of("lost"), harness.cancelled);
        harness.end(harness.sent.get(0), Outcome.CANCELLED);
        harness.until(399);
        assertEquals(1, harness.attempts.get("lost"), "the release is awaited");
        harness.until(500);
        assertEquals(2, harness.attempts.get("lost"));
    }

    @Test
    void oddButLegalEventsDoNoHarm() {
        harness.policy.timerFired(0);
        harness.call("a", 0, 1);
        harness.call("a", 0, 1);
        harness.call("unknown class", 7, 1);
        harness.call("no time", 0, 1, 0);
        harness.list(PolicyHarness.running(1));
        harness.end(harness.last(), Outcome.NOT_SENT);
        harness.end(harness.last(), Outcome.COMPLETED);
        harness.end(harness.last(), Outcome.COMPLETED);
        harness.policy.clientLeft(harness.now, "a");
        harness.policy.clientLeft(harness.now, "never seen");
        harness.policy.callEstablished(harness.now, "never seen", 0, 1, 5);
        harness.policy.loadReported(harness.now, 99, new RoutingPolicy.LoadReport(1, 1, 1, 1, 1, 1));
        harness.policy.serverListFailed(harness.now);
        harness.until(1e7);
        harness.call("after a leap", 0, 1);
        harness.until(1e7);
        harness.list();
        harness.until(2e7);
        assertEquals(1, harness.finals.stream().filter(f -> f.call().equals("no time")).count());
        assertEquals(1, harness.finals.stream().filter(f -> f.call().equals("unknown class")).count());
        assertEquals(harness.finals.size(), harness.finals.stream().map(PolicyHarness.Final::call).distinct().count());
    }

    private void warm(long server) {
        for (int i = 0; i < 5; i++) {
            harness.call("warm" + server + i, 0, (int) server);
            harness.until(harness.now + 20);
            harness.answer(harness.last());
        }
    }

    @Test
    void afterAnErrorAnotherServerComesFirstAndTheSameOneWhereThereIsNoOther() {
        for (int servers = 2; servers <= 3; servers++) {
            PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
            harness.list(servers == 2 ? new RoutingPolicy.ListedServer[] {PolicyHarness.running(1), PolicyHarness.running(2)}
                    : new RoutingPolicy.ListedServer[] {PolicyHarness.running(1), PolicyHarness.running(2),
                            PolicyHarness.running(3)});
            harness.call("a", 0, 1);
            assertEquals(1, harness.sent.get(0).server(), "first choice");
            harness.end(harness.sent.get(0), Outcome.ERROR);
            assertTrue(harness.sent.get(1).server() != 1, "another");
        }
        PolicyHarness alone = new PolicyHarness(PolicyHarness.settings(0));
        alone.list(PolicyHarness.running(1));
        alone.call("a", 0, 1);
        alone.end(alone.sent.get(0), Outcome.ERROR);
        assertEquals(1, alone.sent.get(1).server());
    }
}
