package pathlane.transport;

import java.time.Duration;
import java.time.Instant;
import pathlane.core.Scheduler;

/** A token bucket: a burst at once, and one more each time an interval has passed. Not thread-safe. */
public final class RateLimiter {

    private final int burst;
    private final Duration interval;
    private final Scheduler scheduler;
    private long tokens;
    private Instant filledAt;

    /** A full bucket. */
    public RateLimiter(int burst, Duration interval, Scheduler scheduler) {
        this.burst = burst;
        this.interval = interval;
        this.scheduler = scheduler;
        this.tokens = burst;
        this.filledAt = scheduler.now();
    }

    /** Whether one more is allowed now; it is then taken. */
    public boolean tryAcquire() {
        long due = Duration.between(filledAt, scheduler.now()).dividedBy(interval);
        tokens = Math.min(burst, tokens + due);
        filledAt = filledAt.plus(interval.multipliedBy(due));
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }
}
