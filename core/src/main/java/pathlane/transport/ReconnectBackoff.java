package pathlane.transport;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The delay before a lost connection to a server is opened again: it doubles with each failure, and has jitter, since the
 * whole fleet reconnects to a server that restarts. Used on the event loop's thread.
 */
public final class ReconnectBackoff {

    private static final Duration MIN_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_DELAY = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private Duration delay = MIN_DELAY;

    /** Creates a backoff whose next delay is the shortest; {@code random} is the source of the jitter. */
    public ReconnectBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the delay before the next attempt, and doubles the one after it up to the maximum. */
    public Duration next() {
        Duration next = withJitter(delay);
        Duration doubled = delay.multipliedBy(2);
        delay = doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
        return next;
    }

    /** Adds up to half of a delay to it. */
    public Duration withJitter(Duration exact) {
        return exact.plusNanos(random.nextLong(exact.dividedBy(2).toNanos()));
    }

    /** A connection has opened: the next delay is the shortest. */
    public void reset() {
        delay = MIN_DELAY;
    }
}
