package pathlane.group;

import java.time.Duration;

/**
 * The length of a lease and the bounds assumed for clocks and processes. The holder counts from the moment it sent a
 * renewal and stops early. The registry counts from the moment it applied the renewal, which is later, and expires the
 * lease late. The gap between the two covers clock drift and the time from a validity check to the write that it allows.
 *
 * @param length of a lease, at least 300 ms
 * @param drift the largest relative error of a monotonic clock, fast or slow; from 0 to 0.2
 * @param writeLag the longest time from a validity check to its write; from 0 to a quarter of the length
 */
public record LeaseTerms(Duration length, double drift, Duration writeLag) {

    private static final Duration MIN_LENGTH = Duration.ofMillis(300);
    private static final double MAX_DRIFT = 0.2;
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int MIN_WRITE_LAGS_PER_LEASE = 4;

    /** A lease of 3 s, clocks that are off by at most 1 %, and 100 ms from a check to its write. */
    public static final LeaseTerms DEFAULT = new LeaseTerms(Duration.ofSeconds(3), 0.01, Duration.ofMillis(100));

    /** @throws IllegalArgumentException if a value is out of range; the message says which */
    public LeaseTerms {
        if (length.compareTo(MIN_LENGTH) < 0) {
            throw new IllegalArgumentException(
                    "lease length of " + length.toMillis() + " ms is below the minimum of 300 ms");
        }
        if (!(drift >= 0 && drift <= MAX_DRIFT)) {
            throw new IllegalArgumentException("drift of " + drift + " is not between 0 and 0.2");
        }
        if (writeLag.isNegative() || writeLag.multipliedBy(MIN_WRITE_LAGS_PER_LEASE).compareTo(length) > 0) {
            throw new IllegalArgumentException("write lag of " + writeLag.toMillis()
                    + " ms is not between 0 and a quarter of the lease length");
        }
    }

    /** How long the holder may act after it sent a renewal, by its own clock. */
    public Duration validFor() {
        return Duration.ofNanos((long) (length.toNanos() * (1 - drift))).minus(writeLag);
    }

    /** How long after applying a renewal the registry expires the lease, by the clock of the leading voter. */
    public Duration expireAfter() {
        return Duration.ofNanos((long) (length.toNanos() * (1 + drift)));
    }

    /** The interval between renewals: a third of the length, so that two may fail before the lease lapses. */
    public Duration renewalInterval() {
        return length.dividedBy(RENEWALS_PER_LEASE);
    }
}
