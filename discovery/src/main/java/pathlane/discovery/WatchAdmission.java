package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Limits the rate of accepted watches by a token bucket. Rejected subscribers receive retry delays spaced at the same
 * rate, so that subscribers rejected together do not retry together.
 */
final class WatchAdmission {

    /** The longest retry delay before jitter: the load is likely to have changed by then. */
    static final Duration MAX_WAIT = Duration.ofSeconds(30);
    /** Retry delays are extended by up to this share, which shuffles the order of the rejected subscribers. */
    private static final double JITTER = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double nanosPerWatch;
    private final double maxNanos;
    private final RandomGenerator random;
    /** The bucket's content, expressed as time: a watch consumes the time in which one token is added. */
    private double availableNanos;
    private Instant filledAt;
    /** When the next rejected subscriber may retry. */
    private Instant nextRetryAt;

    /**
     * Starts with a full bucket.
     *
     * @param perSecond watches per second, above 0
     * @param burst watches at once, at least 1
     */
    WatchAdmission(double perSecond, int burst, Instant now, RandomGenerator random) {
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException(
                    "invalid admission rate of " + perSecond + " watches a second, " + burst + " at once");
        }
        this.nanosPerWatch = NANOS_PER_SECOND / perSecond;
        this.maxNanos = nanosPerWatch * burst;
        this.random = random;
        this.availableNanos = maxNanos;
        this.filledAt = now;
        this.nextRetryAt = now;
    }

    /** Admits a watch and returns empty, or returns the retry delay. */
    Optional<Duration> admit(Instant now) {
        availableNanos = Math.min(maxNanos, availableNanos + Duration.between(filledAt, now).toNanos());
        filledAt = now;
        if (availableNanos >= nanosPerWatch) {
            availableNanos -= nanosPerWatch;
            return Optional.empty();
        }
        return Optional.of(nextRetryDelay(now));
    }

    /** The retry delay of a rejected watch, scheduled after those rejected before. */
    Duration nextRetryDelay(Instant now) {
        Instant earliest = nextRetryAt.isAfter(now) ? nextRetryAt : now;
        nextRetryAt = earliest.plusNanos((long) nanosPerWatch);
        Duration wait = Duration.between(now, nextRetryAt);
        if (wait.compareTo(MAX_WAIT) > 0) {
            nextRetryAt = now.plus(MAX_WAIT);
            wait = MAX_WAIT;
        }
        return wait.plusNanos((long) (wait.toNanos() * JITTER * random.nextDouble()));
    }
}
