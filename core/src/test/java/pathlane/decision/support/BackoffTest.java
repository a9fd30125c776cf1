package pathlane.decision.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Backoff, destination intervals, consecutive detections and timers: which events change them and which are ignored. */
class BackoffTest {

    @Test
    void pauseDoublesWithEachConsecutiveFailureUpToTheLimit() {
        ExponentialBackoff backoff = new ExponentialBackoff(100, 2);
        double now = 0;
        for (double pause : new double[] {100, 200, 400, 400}) {
            now += 1000;
            assertTrue(backoff.recordFailure(now, now - 1, 0));
            assertEquals(now + pause, backoff.pausedUntil());
        }
    }

    @Test
    void operationStartedBeforeTheLastFailureIsNotCountedAgain() {
        ExponentialBackoff backoff = new ExponentialBackoff(100, 4);
        backoff.recordFailure(1000, 900, 0);
        assertFalse(backoff.recordFailure(1010, 950, 0));
        assertEquals(1, backoff.consecutiveFailures());
    }

    @Test
    void requestedRetryAfterIsHonouredIfItIsLonger() {
        ExponentialBackoff backoff = new ExponentialBackoff(100, 4);
        backoff.recordFailure(1000, 900, 5000);
        assertEquals(6000, backoff.pausedUntil());
    }

    @Test
    void lateFailureOfAnOperationStartedBeforeASuccessAddsNoPause() {
        ExponentialBackoff backoff = new ExponentialBackoff(100, 4);
        backoff.recordFailure(1000, 900, 0);
        backoff.recordSuccess();
        backoff.recordFailure(1050, 950, 0);
        assertEquals(1100, backoff.pausedUntil());
        backoff.reset();
        assertEquals(Double.NEGATIVE_INFINITY, backoff.pausedUntil());
    }

    @Test
    void valueChangesAfterEnoughConsecutiveDetections() {
        ConsecutiveDetections<String> detections = new ConsecutiveDetections<>(3, "off");
        assertFalse(detections.record("on"));
        assertFalse(detections.record("on"));
        assertFalse(detections.record("off"));
        assertFalse(detections.record("on"));
        assertFalse(detections.record("on"));
        assertTrue(detections.record("on"));
        assertEquals("on", detections.value());
        assertFalse(detections.record("on"), "no change");
    }

    @Test
    void intervalOfABusyDestinationDoublesWithinBounds() {
        DestinationRecord destination = new DestinationRecord();
        assertTrue(destination.recordBusy(0, 0, 100, 300));
        assertEquals(100, destination.recordSent(0));
        assertFalse(destination.recordBusy(10, -1, 100, 300), "sent before the destination was last found busy");
        assertTrue(destination.recordBusy(100, 100, 100, 300));
        assertEquals(300, destination.recordSent(100));
        assertTrue(destination.recordBusy(300, 300, 100, 300));
        assertEquals(600, destination.recordSent(300));
    }

    @Test
    void destinationExpiresOnceNoClientWaitsAndItsIntervalHasPassed() {
        DestinationRecord destination = new DestinationRecord();
        destination.recordFailure(0);
        destination.recordBusy(0, 0, 100, 300);
        destination.recordSent(900);
        assertFalse(destination.isExpired(500, 1000), "a client may still wait");
        assertFalse(destination.isExpired(1050, 1000), "the interval has not passed");
        assertTrue(destination.isExpired(1101, 1000));
    }

    @Test
    void timerIsScheduledOnlyIfNoneIsDueAsEarly() {
        RequestedTimer timer = new RequestedTimer();
        assertTrue(timer.request(100));
        assertFalse(timer.request(150));
        assertTrue(timer.request(50));
        assertEquals(0, timer.fireIfDue(49));
        assertEquals(10, timer.fireIfDue(60));
        assertEquals(0, timer.fireIfDue(70), "none is due");
        assertTrue(timer.request(150));
    }
}
