package pathlane.group;

import java.time.Duration;

/**
 * What a lease lasts, and what is assumed of clocks and processes. The holder counts from when it sent the renewal and
 * stops early; the register counts from when it applied the renewal, which is later, and ends the lease late. Between
 * the two lies what the clocks may drift apart, and what may pass between a check and the bytes that it allowed.
 *
 * @param length of a lease, from 300 ms
 * @param drift by how much a monotonic clock may run fast or slow, as a part; from 0 to 0.2
 * @param writeLag how long after its check a write may still leave; from 0 to a quarter of the length
 */
public record LeaseTerms(Duration length, double drift, Duration writeLag) {

    private static final Duration LEAST = Duration.ofMillis(300);
    private static final double MOST_DRIFT = 0.2;
    private static final int RENEWALS = 3;
    private static final int PARTS = 4;

    /** Three seconds, a clock that is off by a hundredth, 100 ms from a check to its bytes. */
    public static final LeaseTerms DEFAULT = new LeaseTerms(Duration.ofSeconds(3), 0.01, Duration.ofMillis(100));

    /** @throws IllegalArgumentException with a sentence where a figure is out of its range */
    public LeaseTerms {
        if (length.compareTo(LEAST) < 0) {
            throw new IllegalArgumentException("a lease of " + length.toMillis() + " ms is under the 300 ms that it takes");
        }
        if (!(drift >= 0 && drift <= MOST_DRIFT)) {
            throw new IllegalArgumentException("a drift of " + drift + " is not from 0 to 0.2");
        }
        if (writeLag.isNegative() || writeLag.multipliedBy(PARTS).compareTo(length) > 0) {
            throw new IllegalArgumentException("a write lag of " + writeLag.toMillis()
                    + " ms is not from 0 to a quarter of the lease");
        }
    }

    /** How long the holder may act, from when it sent its renewal, by its own clock. */
    public Duration validFor() {
        return Duration.ofNanos((long) (length.toNanos() * (1 - drift))).minus(writeLag);
    }

    /** How long the register waits from when it applied a renewal, by whichever voter's clock, to end the lease. */
    public Duration expireAfter() {
        return Duration.ofNanos((long) (length.toNanos() * (1 + drift)));
    }

    /** How often a holder renews: twice it may fail before the lease is no longer valid. */
    public Duration renewInterval() {
        return length.dividedBy(RENEWALS);
    }
}
