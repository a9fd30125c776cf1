package pathlane.decision.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Rates, maxima, means and token buckets against hand-computed values. */
class RatesTest {

    @Test
    void eventsDecayByTheTimeConstant() {
        DecayingRate rate = new DecayingRate(1000);
        rate.count(0);
        assertEquals(0.001, rate.at(0), 1e-12);
        assertEquals(0.001 / Math.E, rate.at(1000), 1e-12);
        rate.count(1000);
        assertEquals(0.001 + 0.001 / Math.E, rate.last(), 1e-12);
    }

    @Test
    void maximumDecaysUntilAHigherValueIsObserved() {
        DecayingMaximum maximum = new DecayingMaximum(1000);
        maximum.observe(0, 8);
        maximum.observe(1000, 2);
        assertEquals(8 / Math.E, maximum.last(), 1e-12);
        maximum.observe(1000, 5);
        assertEquals(5, maximum.last(), 1e-12);
    }

    @Test
    void bucketFillsUpToItsSizeAndIsEmptiedByFullTokens() {
        TokenBucket bucket = new TokenBucket();
        bucket.reset(100, 0.5);
        bucket.refill(140, 0.01, 3);
        assertFalse(bucket.hasToken(), "0.9");
        bucket.refill(1000, 0.01, 3);
        for (int taken = 0; taken < 3; taken++) {
            assertTrue(bucket.hasToken());
            bucket.take();
        }
        assertFalse(bucket.hasToken());
        bucket.add(1.5);
        assertTrue(bucket.hasToken());
    }

    @Test
    void meanIgnoresMembersThatReportedNothing() {
        MeanOfReported mean = new MeanOfReported();
        assertEquals(7, mean.orElse(7));
        mean.update(0, 10);
        mean.update(0, 20);
        mean.update(20, 40);
        mean.update(0, 0);
        assertEquals(25, mean.orElse(7));
    }
}
