package pathlane.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import pathlane.decision.Outcome;
import pathlane.retry.RetryTracker.Admission;

class RetryTrackerTest {

    private static final OptionalDouble NOT_LOST = OptionalDouble.empty();

    private final RetryTracker guard = new RetryTracker(2, 9000, 200);

    @Test
    void aRetryCountsUnderItsFirstTryAndWaitsForTheGap() {
        Admission first = guard.arrived(7, 50, 1000);
        assertFalse(first.isRetry());
        guard.recordFailure(7, first, OptionalDouble.of(1500), 1510);
        Admission second = guard.arrived(7, 51, 1515);
        assertEquals(new Admission(50, 1000, 1, 1700), second);
        guard.recordFailure(7, second, NOT_LOST, 1520);
        assertEquals(new Admission(50, 1000, 2, 1700), guard.arrived(7, 50, 1600));
        assertEquals(new Admission(50, 1000, 2, 1800), guard.arrived(7, 50, 1800));
        assertEquals(1, guard.firstCalls());
        assertEquals(3, guard.retries());
        assertEquals(2, guard.delayed());
    }

    @Test
    void aTryThatEndedWithoutALossMayLeaveAtOnce() {
        guard.recordFailure(7, guard.arrived(7, 50, 1000), NOT_LOST, 1010);
        assertEquals(new Admission(50, 1000, 1, 1011), guard.arrived(7, 50, 1011));
    }

    @Test
    void whatStoodOrIsLongOverIsAskedAnew() {
        guard.recordFailure(7, guard.arrived(7, 50, 1000), OptionalDouble.of(1000), 1000);
        guard.recordSuccess(7);
        assertFalse(guard.arrived(7, 50, 1001).isRetry());
        guard.recordFailure(8, guard.arrived(8, 50, 1002), NOT_LOST, 1002);
        assertTrue(guard.arrived(8, 50, 10_001).isRetry());
        assertFalse(guard.arrived(8, 50, 10_002).isRetry());
        assertTrue(guard.isEmpty(10_002));
    }

    @Test
    void whereTheIndexOverflowsTheGapIsKeptForWhoeverMayHaveBeenForgotten() {
        for (int key = 1; key <= 3; key++) {
            guard.recordFailure(key, guard.arrived(key, 50, 1000), OptionalDouble.of(1000 + key), 1010);
        }
        assertEquals(2, guard.size());
        assertEquals(new Admission(50, 1020, 0, 1201), guard.arrived(1, 50, 1020));
        assertEquals(new Admission(50, 1202, 0, 1202), guard.arrived(99, 50, 1202));
    }

    @Test
    void aClockThatMovesBackNeitherShortensAGapNorKeepsACallForLonger() {
        Admission first = guard.arrived(7, 50, 5000);
        guard.recordFailure(7, first, OptionalDouble.of(5000), 5000);
        assertEquals(new Admission(50, 5000, 1, 5200), guard.arrived(7, 50, 1000));
        guard.recordFailure(8, guard.arrived(8, 50, 1001), OptionalDouble.of(1001), 1001);
        assertEquals(new Admission(50, 5000, 1, 13_999), guard.arrived(8, 50, 13_999));
        assertFalse(guard.arrived(8, 50, 14_000).isRetry());
    }

    @Test
    void onlyLostAttemptsLeaveAGap() {
        for (Outcome how : Outcome.values()) {
            assertEquals(how == Outcome.TIMED_OUT || how == Outcome.RESET || how == Outcome.CANCELLED,
                    RetryTracker.requiresRetryDelay(how), how.name());
        }
    }

    @Test
    void aGapThatOutlastsTheMemoryIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new RetryTracker(2, 100, 200));
    }
}
