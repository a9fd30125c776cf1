package pathlane.link;

import java.time.Duration;
import java.time.Instant;
import pathlane.core.Scheduler;

/** A token bucket: so many at once, and one more each time a span has passed. */
public final class RateLimit {

    private final int atOnce;
    private final Duration every;
    private final Scheduler scheduler;
    private long tokens;
    private Instant filledAt;

    public RateLimit(int atOnce, Duration every, Scheduler scheduler) {
        this.atOnce = atOnce;
        this.every = every;
        this.scheduler = scheduler;
        this.tokens = atOnce;
        this.filledAt = scheduler.now();
    }

    /** Whether one more is allowed now; it is then taken. */
    public boolean take() {
        long due = Duration.between(filledAt, scheduler.now()).dividedBy(every);
        tokens = Math.min(atOnce, tokens + due);
        filledAt = filledAt.plus(every.multipliedBy(due));
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }
}
