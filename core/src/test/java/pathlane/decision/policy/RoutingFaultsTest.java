package pathlane.decision.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.OverloadDetector.Level;

/** Regression tests, one for each fault found, and a test of unusual but legal event sequences. */
class RoutingFaultsTest {

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(500));

    /** Guards against a late final answer: a call with 78 ms left was held although the next timer was due in 150 ms. */
    @Test
    void heldCallWithShortDeadlineIsAnsweredInTime() {
        harness.advanceTo(50);
        harness.requestCall("long", 0, 1);
        harness.advanceTo(60);
        harness.requestCall("short", 0, 1, 78);
        harness.advanceTo(138);
        assertTrue(harness.finalAnswers.stream().anyMatch(answer -> answer.call().equals("short") && answer.at() <= 138));
    }

    /** Calls are held so briefly that two thirds of their time are left for a stall of this process before the answer. */
    @Test
    void stallRarelyOutlastsAHeldCall() {
        harness.requestCall("a", 0, 1);
        harness.stallUntil(PolicyHarness.REMAINING_MS * 0.7);
        assertEquals(1, harness.finalAnswers.size());
    }

    /** After a stall of this process, outstanding requests are near their deadlines: that must not count as overload. */
    @Test
    void stallIsNotDetectedAsOverload() {
        harness.listServers(PolicyHarness.runningServer(1));
        answerPromptly(1);
        harness.requestCall("a", 0, 1);
        harness.stallUntil(harness.now + 2000);
        harness.establish(harness.lastSent());
        assertEquals(Level.NONE, harness.serverState(1).overload.value());
        harness.requestCall("b", 0, 1);
        assertEquals("b", harness.lastSent().call());
    }

    /** Guards against a leak: every server that was ever listed was kept, and iterated over on every event. */
    @Test
    void goneServersAreRemovedAfterTheSlowStartTime() {
        for (int id = 1; id <= 200; id++) {
            harness.updateServers(PolicyHarness.runningServer(id + 1),
                    new RoutingPolicy.ListedServer(id, id, ServerStatus.GONE, 0, 1));
            harness.advanceTo(id * 1000);
        }
        assertTrue(harness.policy.cluster.servers.size() <= 13,
                "one per second is replaced, and each is kept for the 10 s of a slow start");
        assertTrue(harness.policy.cluster.servers.containsKey(201L));
    }

    @Test
    void attemptOfAClientThatLeftIsCancelledAndNotCounted() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("a", 0, 1);
        harness.policy.clientLeft(harness.now, "a");
        assertEquals(List.of("a"), harness.cancelled);
        assertTrue(harness.serverState(1).unanswered.isEmpty());
        harness.endAttempt(harness.lastSent(), Outcome.CANCELLED);
        harness.advanceTo(5000);
        assertEquals(List.of(), harness.finalAnswers);
    }

    /** Guards against a stuck level: the gate let few requests pass, so that level 2 outlasted its cause by many seconds. */
    @Test
    void idleServerLeavesOverloadAfterFiveDetections() {
        harness.listServers(PolicyHarness.runningServer(1));
        answerPromptly(1);
        ServerState server = harness.serverState(1);
        server.overload.set(Level.SEVERE);
        server.advance(harness.now);
        for (int i = 0; i < 10; i++) {
            server.advance(harness.now + i * 50);
        }
        assertEquals(Level.NONE, server.overload.value());
    }

    /** Guards against a stale service time above the limit, which blocked all requests to a server idle for long. */
    @Test
    void loneRequestRefreshesAnOldDelay() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("a", 0, 1);
        harness.advanceTo(1200);
        harness.establish(harness.lastSent());
        harness.requestCall("b", 0, 1);
        assertEquals("a", harness.lastSent().call(), "not before as much time has passed as the last answer took");
        harness.advanceTo(60_000);
        harness.requestCall("c", 0, 1);
        assertEquals("c", harness.lastSent().call());
        harness.requestCall("d", 0, 1);
        assertEquals("c", harness.lastSent().call(), "only one request at a time");
    }

    /** Guards against a service time that fell back to 0 after a second, so that a slow server got two requests at once. */
    @Test
    void lastDelayIsKeptHoweverOld() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("a", 0, 1);
        harness.advanceTo(1200);
        harness.establish(harness.lastSent());
        harness.advanceTo(9000);
        harness.requestCall("b", 0, 1);
        harness.requestCall("c", 0, 1);
        assertEquals("b", harness.lastSent().call());
    }

    @Test
    void retryAfterOfAServerIsHonoured() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("a", 0, 1);
        harness.endAttempt(harness.lastSent(), Outcome.REJECTED, 4000);
        for (int i = 0; i < 100; i++) {
            harness.advanceTo(i * 100.0);
            harness.requestCall("b" + i, 0, 1);
        }
        assertTrue(harness.sent.size() > 1, "sent again");
        assertTrue(harness.sent.get(1).at() >= 4000, "not before the stated retry-after: " + harness.sent.get(1));
    }

    /** Guards against a constant retry rate: rejections without retry-after were followed by a new request every 125 ms. */
    @Test
    void consecutiveRejectionsDoubleThePause() {
        harness.listServers(PolicyHarness.runningServer(1));
        for (int i = 0; i < 400; i++) {
            int before = harness.sent.size();
            harness.advanceTo(i * 25.0);
            harness.requestCall("c" + i, 0, 1);
            for (int s = before; s < harness.sent.size(); s++) {
                harness.endAttempt(harness.sent.get(s), Outcome.REJECTED);
            }
        }
        assertTrue(harness.sent.size() <= 8 && harness.sent.size() >= 4,
                "requests sent in ten seconds of rejections: " + harness.sent.size());
    }

    /**
     * Guards against treating "no free slot" as overload of the server, and against hundreds of requests a second that
     * compete for single free slots.
     */
    @Test
    void noCapacityIsNotAFailure() {
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
        harness.requestCall("a", 0, 1);
        harness.endAttempt(harness.lastSent(), Outcome.NO_CAPACITY);
        assertEquals(2, harness.lastSent().server());
        assertEquals(0, harness.serverState(1).backoff.consecutiveFailures());
        harness.policy.loadReported(harness.now, 1,
                new RoutingPolicy.LoadReport(40, 100, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
        harness.requestCall("b", 0, 1);
        assertEquals(1, harness.lastSent().server());
    }

    /** Guards against a full slow start for a server that never restarted, only because established calls were reset. */
    @Test
    void resetCallsDoNotStartASlowStart() {
        harness.listServers(PolicyHarness.runningServer(1));
        answerPromptly(1);
        harness.requestCall("a", 0, 1);
        harness.advanceTo(harness.now + 30);
        harness.establish(harness.lastSent());
        harness.endAttempt(harness.lastSent(), Outcome.RESET);
        harness.advanceTo(harness.now + 1000);
        assertTrue(!harness.serverState(1).slowStart.isActive(harness.now));
        harness.requestCall("b", 0, 1);
        assertEquals("b", harness.lastSent().call());
    }

    /** Guards against retrying a call to a busy destination at one server after another. */
    @Test
    void requestsForABusyDestinationAreSpacedAndNotRetriedElsewhere() {
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
        for (int i = 0; i < 100; i++) {
            harness.advanceTo(i * 50.0);
            int before = harness.sent.size();
            harness.policy.requestArrived(harness.now, new RoutingPolicy.Request("c" + i, 0, "hot", 3000, 1, false));
            if (harness.sent.size() > before) {
                harness.endAttempt(harness.lastSent(), Outcome.BUSY);
            }
        }
        assertTrue(harness.sent.size() <= 5, "attempts in five seconds: " + harness.sent.size());
        assertEquals(100, harness.finalAnswers.size());
        harness.requestCall("other", 0, 1);
        assertEquals("other", harness.lastSent().call());
    }

    /** Guards against retries past their latency objective that were sent before fresh requests. */
    @Test
    void freshRequestsAreSentBeforeLateRetries() {
        harness.policy.requestArrived(0, new RoutingPolicy.Request("first", 0, "again", 3000, 1, false));
        harness.advanceTo(1000);
        assertEquals(1, harness.finalAnswers.size(), "no server known: rejected");
        harness.advanceTo(1500);
        harness.policy.requestArrived(harness.now, new RoutingPolicy.Request("second", 0, "again", 3000, 1, false));
        harness.advanceTo(1510);
        harness.requestCall("fresh", 0, 1);
        harness.listServers(PolicyHarness.runningServer(1));
        assertEquals("fresh", harness.sent.get(0).call());
    }

    /** A server that answers nothing gets no more requests once its oldest one has waited for nearly the latency limit. */
    @Test
    void unresponsiveServerGetsNoMoreRequests() {
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
        answerPromptly(2);
        harness.requestCall("a", 0, 1);
        assertEquals(1, harness.lastSent().server());
        harness.advanceTo(harness.now + 460);
        long before = harness.countSentTo(1);
        for (int i = 0; i < 20; i++) {
            harness.requestCall("b" + i, 0, 1);
            harness.advanceTo(harness.now + 50);
            harness.sent.stream().filter(request -> request.server() == 2).forEach(harness::establish);
        }
        assertEquals(before, harness.countSentTo(1));
    }

    /** Guards against cancelling requests to a slow server before their answer, which left its delay unknown. */
    @Test
    void slowServerGetsTimeToAnswer() {
        harness.listServers(PolicyHarness.runningServer(1), PolicyHarness.runningServer(2));
        answerPromptly(2);
        harness.requestCall("a", 0, 1);
        harness.advanceTo(harness.now + 1300);
        assertEquals(List.of(), harness.cancelled);
    }

    /** Guards against a lost request that blocked its server for the three seconds that its client would wait. */
    @Test
    void overtakenRequestIsCancelledAndRetried() {
        harness.listServers(PolicyHarness.runningServer(1));
        harness.requestCall("lost", 0, 1);
        harness.advanceTo(150);
        harness.requestCall("b", 0, 1);
        harness.advanceTo(200);
        harness.establish(harness.lastSent());
        assertEquals(List.of("lost"), harness.cancelled);
        harness.endAttempt(harness.sent.get(0), Outcome.CANCELLED);
        harness.advanceTo(399);
        assertEquals(1, harness.attemptCounts.get("lost"), "the release is awaited");
        harness.advanceTo(500);
        assertEquals(2, harness.attemptCounts.get("lost"));
    }

    @Test
    void unusualButLegalEventsAreHandled() {
        harness.policy.timerFired(0);
        harness.requestCall("a", 0, 1);
        harness.requestCall("a", 0, 1);
        harness.requestCall("unknown class", 7, 1);
        harness.requestCall("no time", 0, 1, 0);
        harness.listServers(PolicyHarness.runningServer(1));
        harness.endAttempt(harness.lastSent(), Outcome.NOT_SENT);
        harness.endAttempt(harness.lastSent(), Outcome.COMPLETED);
        harness.endAttempt(harness.lastSent(), Outcome.COMPLETED);
        harness.policy.clientLeft(harness.now, "a");
        harness.policy.clientLeft(harness.now, "never seen");
        harness.policy.callEstablished(harness.now, "never seen", 0, 1, 5);
        harness.policy.loadReported(harness.now, 99, new RoutingPolicy.LoadReport(1, 1, 1, 1, 1, 1));
        harness.policy.serverListFailed(harness.now);
        harness.advanceTo(1e7);
        harness.requestCall("after a leap", 0, 1);
        harness.advanceTo(1e7);
        harness.listServers();
        harness.advanceTo(2e7);
        assertEquals(1, harness.finalAnswers.stream().filter(answer -> answer.call().equals("no time")).count());
        assertEquals(1, harness.finalAnswers.stream().filter(answer -> answer.call().equals("unknown class")).count());
        assertEquals(harness.finalAnswers.size(),
                harness.finalAnswers.stream().map(PolicyHarness.FinalAnswer::call).distinct().count());
    }

    /** Has the server answer five calls promptly, so that its delay is known. */
    private void answerPromptly(long server) {
        for (int i = 0; i < 5; i++) {
            harness.requestCall("prompt" + server + i, 0, (int) server);
            harness.advanceTo(harness.now + 20);
            harness.establish(harness.lastSent());
        }
    }

    @Test
    void afterAnErrorTheCallIsRetriedAtAnotherServerOrElseAtTheSameOne() {
        for (int servers = 2; servers <= 3; servers++) {
            PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(0));
            harness.listServers(servers == 2
                    ? new RoutingPolicy.ListedServer[] {PolicyHarness.runningServer(1), PolicyHarness.runningServer(2)}
                    : new RoutingPolicy.ListedServer[] {PolicyHarness.runningServer(1), PolicyHarness.runningServer(2),
                            PolicyHarness.runningServer(3)});
            harness.requestCall("a", 0, 1);
            assertEquals(1, harness.sent.get(0).server(), "preferred server");
            harness.endAttempt(harness.sent.get(0), Outcome.ERROR);
            assertTrue(harness.sent.get(1).server() != 1, "another server");
        }
        PolicyHarness oneServer = new PolicyHarness(PolicyHarness.settings(0));
        oneServer.listServers(PolicyHarness.runningServer(1));
        oneServer.requestCall("a", 0, 1);
        oneServer.endAttempt(oneServer.sent.get(0), Outcome.ERROR);
        assertEquals(1, oneServer.sent.get(1).server());
    }
}
