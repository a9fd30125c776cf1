package pathlane.transport;

import java.time.Duration;
import java.time.Instant;
import pathlane.core.Scheduler;

/** A token bucket that allows a burst and refills one token per interval. Not thread-safe. */
public final class RateLimiter {

    private final int burst;
    private final Duration interval;
    private final Scheduler scheduler;
    private long tokens;
    private Instant refilledAt;

    /** Creates a full bucket. */
    public RateLimiter(int burst, Duration interval, Scheduler scheduler) {
        this.burst = burst;
        this.interval = interval;
        this.scheduler = scheduler;
        this.tokens = burst;
        this.refilledAt = scheduler.now();
    }

    /** Takes a token if one is available; returns whether it did. */
    public boolean tryAcquire() {
        long newTokens = Duration.between(refilledAt, scheduler.now()).dividedBy(interval);
        tokens = Math.min(burst, tokens + newTokens);
        refilledAt = refilledAt.plus(interval.multipliedBy(newTokens));
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }
}
