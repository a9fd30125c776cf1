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

    private final RetryTracker tracker = new RetryTracker(2, 9000, 200);

    @Test
    void retryIsAttributedToFirstCallAndWaitsForRetryDelay() {
        Admission first = tracker.arrived(7, 50, 1000);
        assertFalse(first.isRetry());
        tracker.recordFailure(7, first, OptionalDouble.of(1500), 1510);
        Admission second = tracker.arrived(7, 51, 1515);
        assertEquals(new Admission(50, 1000, 1, 1700), second);
        tracker.recordFailure(7, second, NOT_LOST, 1520);
        assertEquals(new Admission(50, 1000, 2, 1700), tracker.arrived(7, 50, 1600));
        assertEquals(new Admission(50, 1000, 2, 1800), tracker.arrived(7, 50, 1800));
        assertEquals(1, tracker.firstCalls());
        assertEquals(3, tracker.retries());
        assertEquals(2, tracker.delayed());
    }

    @Test
    void retryIsNotDelayedIfNoAttemptWasLost() {
        tracker.recordFailure(7, tracker.arrived(7, 50, 1000), NOT_LOST, 1010);
        assertEquals(new Admission(50, 1000, 1, 1011), tracker.arrived(7, 50, 1011));
    }

    @Test
    void callIsFirstAgainAfterSuccessOrExpiry() {
        tracker.recordFailure(7, tracker.arrived(7, 50, 1000), OptionalDouble.of(1000), 1000);
        tracker.recordSuccess(7);
        assertFalse(tracker.arrived(7, 50, 1001).isRetry());
        tracker.recordFailure(8, tracker.arrived(8, 50, 1002), NOT_LOST, 1002);
        assertTrue(tracker.arrived(8, 50, 10_001).isRetry());
        assertFalse(tracker.arrived(8, 50, 10_002).isRetry());
        assertTrue(tracker.isEmpty(10_002));
    }

    @Test
    void retryDelayHoldsForEvictedCalls() {
        for (int key = 1; key <= 3; key++) {
            tracker.recordFailure(key, tracker.arrived(key, 50, 1000), OptionalDouble.of(1000 + key), 1010);
        }
        assertEquals(2, tracker.size());
        assertEquals(new Admission(50, 1020, 0, 1201), tracker.arrived(1, 50, 1020));
        assertEquals(new Admission(50, 1202, 0, 1202), tracker.arrived(99, 50, 1202));
    }

    @Test
    void clockMovingBackNeitherShortensRetryDelayNorExtendsRetention() {
        Admission first = tracker.arrived(7, 50, 5000);
        tracker.recordFailure(7, first, OptionalDouble.of(5000), 5000);
        assertEquals(new Admission(50, 5000, 1, 5200), tracker.arrived(7, 50, 1000));
        tracker.recordFailure(8, tracker.arrived(8, 50, 1001), OptionalDouble.of(1001), 1001);
        assertEquals(new Admission(50, 5000, 1, 13_999), tracker.arrived(8, 50, 13_999));
        assertFalse(tracker.arrived(8, 50, 14_000).isRetry());
    }

    @Test
    void onlyLostAttemptsRequireRetryDelay() {
        for (Outcome outcome : Outcome.values()) {
            assertEquals(outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED,
                    RetryTracker.requiresRetryDelay(outcome), outcome.name());
        }
    }

    @Test
    void retryDelayLongerThanRetentionIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new RetryTracker(2, 100, 200));
    }
}
