package pathlane.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** One test for each failure found, and for odd but legal events. */
class TroubleTest {

    private final Bench bench = new Bench(Bench.settings(500));

    /** Before, a call with 78 ms left was held while the next bell was 150 ms off. */
    @Test
    void aHeldCallIsAnsweredInTimeHoweverShort() {
        bench.until(50);
        bench.call("long", 0, 1);
        bench.until(60);
        bench.call("short", 0, 1, 78);
        bench.until(138);
        assertTrue(bench.finals.stream().anyMatch(f -> f.call().equals("short") && f.at() <= 138));
    }

    /** An own stall while calls are held: the hold ends so early that two thirds of their time are left. */
    @Test
    void aStallHardlyOutlastsAHeldCall() {
        bench.call("a", 0, 1);
        bench.stallUntil(Bench.GRACE * 0.7);
        assertEquals(1, bench.finals.size());
    }

    /** A stalled gateway finds its set-ups near their deadlines: that is no detection. */
    @Test
    void aStallIsNoOverload() {
        bench.list(Bench.running(1));
        warm(1);
        bench.call("a", 0, 1);
        bench.stallUntil(bench.now + 2000);
        bench.answer(bench.last());
        assertEquals(0, bench.logic.servers.get(1L).level);
        bench.call("b", 0, 1);
        assertEquals("b", bench.last().call());
    }

    /** Before, every server that was ever listed was kept, and looked at on every event. */
    @Test
    void serversLongGoneAreForgotten() {
        for (int id = 1; id <= 200; id++) {
            bench.change(Bench.running(id + 1), new Gateway.Listed(id, id, Gateway.Mode.GONE, 0, 1));
            bench.until(id * 1000);
        }
        assertTrue(bench.logic.servers.size() <= 13, "one a second, remembered for the 10 s of a cold start");
        assertTrue(bench.logic.servers.containsKey(201L));
    }

    @Test
    void leaversAreCalledOffAndNotCounted() {
        bench.list(Bench.running(1));
        bench.call("a", 0, 1);
        bench.logic.left(bench.now, "a");
        assertEquals(List.of("a"), bench.cancelled);
        assertTrue(bench.logic.servers.get(1L).unanswered.isEmpty());
        bench.end(bench.last(), Gateway.Ending.CANCELLED);
        bench.until(5000);
        assertEquals(List.of(), bench.finals);
    }

    /** Before, few events came through the gaps and level 2 outlived its cause by many seconds. */
    @Test
    void anIdleServerLeavesItsLevelInFiveSteps() {
        bench.list(Bench.running(1));
        warm(1);
        Logic.Server server = bench.logic.servers.get(1L);
        server.level = 2;
        server.advance(bench.now);
        for (int i = 0; i < 10; i++) {
            server.advance(bench.now + i * 50);
        }
        assertEquals(0, server.level);
    }

    /** Before, a stale x over the limit barred every send to a server that had long been idle. */
    @Test
    void aLoneSetUpRenewsTheDelay() {
        bench.list(Bench.running(1));
        bench.call("a", 0, 1);
        bench.until(1200);
        bench.answer(bench.last());
        bench.call("b", 0, 1);
        assertEquals("a", bench.last().call(), "not within as long as the last one took");
        bench.until(60_000);
        bench.call("c", 0, 1);
        assertEquals("c", bench.last().call());
        bench.call("d", 0, 1);
        assertEquals("c", bench.last().call(), "a lone one");
    }

    /** Before, x fell back to nought after a second and two set-ups at once went to a slow server. */
    @Test
    void theLastSampleIsKept() {
        bench.list(Bench.running(1));
        bench.call("a", 0, 1);
        bench.until(1200);
        bench.answer(bench.last());
        bench.until(9000);
        bench.call("b", 0, 1);
        bench.call("c", 0, 1);
        assertEquals("b", bench.last().call());
    }

    @Test
    void aStatedWaitIsKept() {
        bench.list(Bench.running(1));
        bench.call("a", 0, 1);
        bench.end(bench.last(), Gateway.Ending.REJECTED, 4000);
        for (int i = 0; i < 100; i++) {
            bench.until(i * 100.0);
            bench.call("b" + i, 0, 1);
        }
        assertTrue(bench.sent.size() > 1, "tried again");
        assertTrue(bench.sent.get(1).at() >= 4000, "no sooner than stated: " + bench.sent.get(1));
    }

    /** Before, refusals without a stated wait were met with a new set-up each 125 ms. */
    @Test
    void refusalsInARowDoubleThePause() {
        bench.list(Bench.running(1));
        for (int i = 0; i < 400; i++) {
            int before = bench.sent.size();
            bench.until(i * 25.0);
            bench.call("c" + i, 0, 1);
            for (int s = before; s < bench.sent.size(); s++) {
                bench.end(bench.sent.get(s), Gateway.Ending.REJECTED);
            }
        }
        assertTrue(bench.sent.size() <= 8 && bench.sent.size() >= 4,
                "set-ups in ten seconds of refusals: " + bench.sent.size());
    }

    /** Before, "no free line" was taken for a jam, and then hundreds a second rushed for single lines. */
    @Test
    void noFreeLineIsNoFailure() {
        bench.list(Bench.running(1), Bench.running(2));
        bench.call("a", 0, 1);
        bench.end(bench.last(), Gateway.Ending.NO_FREE_LINE);
        assertEquals(2, bench.last().server());
        assertEquals(0, bench.logic.servers.get(1L).failures);
        bench.logic.reported(bench.now, 1, new Gateway.Report(40, 100, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
        bench.call("b", 0, 1);
        assertEquals(1, bench.last().server());
    }

    /** Before, standing calls that were cut made a server 'cold' for its whole warm-up though it never
     * restarted. */
    @Test
    void cutCallsMakeNoServerCold() {
        bench.list(Bench.running(1));
        warm(1);
        bench.call("a", 0, 1);
        bench.until(bench.now + 30);
        bench.answer(bench.last());
        bench.end(bench.last(), Gateway.Ending.RESET);
        bench.until(bench.now + 1000);
        assertTrue(!bench.logic.servers.get(1L).cold(bench.now));
        bench.call("b", 0, 1);
        assertEquals("b", bench.last().call());
    }

    /** Before, each call to a number whose lines were all engaged was tried at server after server. */
    @Test
    void anEngagedNumberIsGappedAndNotTriedElsewhere() {
        bench.list(Bench.running(1), Bench.running(2));
        for (int i = 0; i < 100; i++) {
            bench.until(i * 50.0);
            int before = bench.sent.size();
            bench.logic.arrived(bench.now, new Gateway.Call("c" + i, 0, "hot", 3000, 1, false));
            if (bench.sent.size() > before) {
                bench.end(bench.last(), Gateway.Ending.ENGAGED);
            }
        }
        assertTrue(bench.sent.size() <= 5, "tries in five seconds: " + bench.sent.size());
        assertEquals(100, bench.finals.size());
        bench.call("other", 0, 1);
        assertEquals("other", bench.last().call());
    }

    /** Before, callers who dialled again after their aim took the place of fresh ones. */
    @Test
    void freshCallsGoBeforeThoseDialledAgainTooLate() {
        bench.logic.arrived(0, new Gateway.Call("first", 0, "again", 3000, 1, false));
        bench.until(1000);
        assertEquals(1, bench.finals.size(), "no server known: refused");
        bench.until(1500);
        bench.logic.arrived(bench.now, new Gateway.Call("second", 0, "again", 3000, 1, false));
        bench.until(1510);
        bench.call("fresh", 0, 1);
        bench.list(Bench.running(1));
        assertEquals("fresh", bench.sent.get(0).call());
    }

    /** A server that answers nothing gets no more once its oldest set-up has waited nearly a limit. */
    @Test
    void aSilentServerIsLeft() {
        bench.list(Bench.running(1), Bench.running(2));
        warm(2);
        bench.call("a", 0, 1);
        assertEquals(1, bench.last().server());
        bench.until(bench.now + 460);
        long before = bench.sentTo(1);
        for (int i = 0; i < 20; i++) {
            bench.call("b" + i, 0, 1);
            bench.until(bench.now + 50);
            bench.sent.stream().filter(s -> s.server() == 2).forEach(bench::answer);
        }
        assertEquals(before, bench.sentTo(1));
    }

    /** Before, set-ups to a slow server were called off before their answer, so that nothing was learned of
     * it. */
    @Test
    void aSlowServerIsGivenTimeToAnswer() {
        bench.list(Bench.running(1), Bench.running(2));
        warm(2);
        bench.call("a", 0, 1);
        bench.until(bench.now + 1300);
        assertEquals(List.of(), bench.cancelled);
    }

    /** Before, one lost set-up barred its server for the three seconds that its caller would wait. */
    @Test
    void anOvertakenSetUpIsCalledOffAndTriedAgain() {
        bench.list(Bench.running(1));
        bench.call("lost", 0, 1);
        bench.until(150);
        bench.call("b", 0, 1);
        bench.until(200);
        bench.answer(bench.last());
        assertEquals(List.of("lost"), bench.cancelled);
        bench.end(bench.sent.get(0), Gateway.Ending.CANCELLED);
        bench.until(399);
        assertEquals(1, bench.attempts.get("lost"), "the release is awaited");
        bench.until(500);
        assertEquals(2, bench.attempts.get("lost"));
    }

    @Test
    void oddButLegalEventsDoNoHarm() {
        bench.logic.woken(0);
        bench.call("a", 0, 1);
        bench.call("a", 0, 1);
        bench.call("unknown class", 7, 1);
        bench.call("no time", 0, 1, 0);
        bench.list(Bench.running(1));
        bench.end(bench.last(), Gateway.Ending.NOT_SENT);
        bench.end(bench.last(), Gateway.Ending.COMPLETED);
        bench.end(bench.last(), Gateway.Ending.COMPLETED);
        bench.logic.left(bench.now, "a");
        bench.logic.left(bench.now, "never seen");
        bench.logic.stands(bench.now, "never seen", 0, 1, 5);
        bench.logic.reported(bench.now, 99, new Gateway.Report(1, 1, 1, 1, 1, 1));
        bench.logic.listFailed(bench.now);
        bench.until(1e7);
        bench.call("after a leap", 0, 1);
        bench.until(1e7);
        bench.list();
        bench.until(2e7);
        assertEquals(1, bench.finals.stream().filter(f -> f.call().equals("no time")).count());
        assertEquals(1, bench.finals.stream().filter(f -> f.call().equals("unknown class")).count());
        assertEquals(bench.finals.size(), bench.finals.stream().map(Bench.Final::call).distinct().count());
    }

    private void warm(long server) {
        for (int i = 0; i < 5; i++) {
            bench.call("warm" + server + i, 0, (int) server);
            bench.until(bench.now + 20);
            bench.answer(bench.last());
        }
    }

    @Test
    void afterAnErrorAnotherServerComesFirstAndTheSameOneWhereThereIsNoOther() {
        for (int servers = 2; servers <= 3; servers++) {
            Bench bench = new Bench(Bench.settings(0));
            bench.list(servers == 2 ? new Gateway.Listed[] {Bench.running(1), Bench.running(2)}
                    : new Gateway.Listed[] {Bench.running(1), Bench.running(2), Bench.running(3)});
            bench.call("a", 0, 1);
            assertEquals(1, bench.sent.get(0).server(), "first choice");
            bench.end(bench.sent.get(0), Gateway.Ending.ERROR);
            assertTrue(bench.sent.get(1).server() != 1, "another");
        }
        Bench alone = new Bench(Bench.settings(0));
        alone.list(Bench.running(1));
        alone.call("a", 0, 1);
        alone.end(alone.sent.get(0), Gateway.Ending.ERROR);
        assertEquals(1, alone.sent.get(1).server());
    }
}
