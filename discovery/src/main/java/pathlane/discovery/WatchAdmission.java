package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Admits watches at a rate by a token bucket. Who is refused is given a time to come back; these times follow one another at
 * the same rate, so that those who were refused together don't come back together.
 */
final class WatchAdmission {

    /** The longest time that anybody is told to wait: by then the state of things is another. */
    static final Duration MAX_WAIT = Duration.ofSeconds(30);
    /** Times to come back are drawn out by up to this share, so that the order among the refused is a new one. */
    private static final double JITTER = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double nanosPerWatch;
    private final double maxNanos;
    private final RandomGenerator random;
    /** The bucket's content as time: a watch takes the time in which one token comes. */
    private double availableNanos;
    private Instant filledAt;
    /** When the next of those who are refused may come back. */
    private Instant nextRetryAt;

    /**
     * A full bucket.
     *
     * @param perSecond watches a second, above 0
     * @param burst watches at once, at least 1
     */
    WatchAdmission(double perSecond, int burst, Instant now, RandomGenerator random) {
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException("admission of " + perSecond + " watches a second, " + burst + " at once");
        }
        this.nanosPerWatch = NANOS_PER_SECOND / perSecond;
        this.maxNanos = nanosPerWatch * burst;
        this.random = random;
        this.availableNanos = maxNanos;
        this.filledAt = now;
        this.nextRetryAt = now;
    }

    /** Admits a watch, where the result is empty, or says after what time to come back. */
    Optional<Duration> admit(Instant now) {
        availableNanos = Math.min(maxNanos, availableNanos + Duration.between(filledAt, now).toNanos());
        filledAt = now;
        if (availableNanos >= nanosPerWatch) {
            availableNanos -= nanosPerWatch;
            return Optional.empty();
        }
        return Optional.of(nextRetryDelay(now));
    }

    /** The time to come back of a watch that is refused, in its turn after those that were refused before. */
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
