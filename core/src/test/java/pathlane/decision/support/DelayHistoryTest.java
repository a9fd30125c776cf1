package pathlane.decision.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DelayHistoryTest {

    private final DelayHistory delays = new DelayHistory(4);

    @Test
    void serviceTimeIsTheUpperQuartileOfDelaysPerOutstandingRequest() {
        delays.add(1, 10, 1);
        delays.add(2, 60, 2);
        delays.add(3, 20, 1);
        delays.add(4, 160, 4);
        assertEquals(0, delays.serviceTime(), "not computed yet");
        delays.refresh(0);
        assertEquals(30, delays.serviceTime(), "of 10, 20, 30 and 40");
        assertEquals(4, delays.maxOutstanding());
    }

    @Test
    void oldestDelaysAreDroppedBeyondTheCapacityAndTheLastIsKept() {
        for (int i = 1; i <= 6; i++) {
            delays.add(i, i, 7 - i);
        }
        delays.refresh(0);
        assertEquals(4, delays.maxOutstanding(), "the third of six is the oldest of four");
        delays.refresh(1e9);
        assertEquals(6, delays.serviceTime());
        assertEquals(1, delays.maxOutstanding());
    }

    @Test
    void meanHalvesTheWeightOfEachOlderDelayAndDecays() {
        delays.add(0, 100, 1);
        delays.add(10, 20, 1);
        assertEquals(60, delays.mean(10, 1000));
        assertEquals(60 / Math.E, delays.mean(1010, 1000), 1e-9);
    }

    @Test
    void lastDelayHasPassedOnceThatMuchTimeHasElapsed() {
        assertTrue(delays.hasLastDelayPassed(5), "there is none");
        delays.add(100, 40, 1);
        assertFalse(delays.hasLastDelayPassed(139));
        assertTrue(delays.hasLastDelayPassed(140));
    }

    @Test
    void clearRemovesEverything() {
        delays.add(1, 10, 3);
        delays.refresh(0);
        delays.clear();
        assertEquals(0, delays.serviceTime());
        assertEquals(0, delays.maxOutstanding());
        assertEquals(0, delays.mean(2, 1000));
    }
}
