package pathlane.transport;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import pathlane.core.Scheduler;

/** Warnings that the other side can bring about at will: only so many are written, the others are counted. */
public final class RateLimitedLog {

    private static final int BURST = 20;
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Logger log;
    private final RateLimiter limiter;
    private long suppressed;

    /** A log for a part of the program, by the logger of that name. */
    public RateLimitedLog(String part, Scheduler scheduler) {
        this.log = System.getLogger(part);
        this.limiter = new RateLimiter(BURST, INTERVAL, scheduler);
    }

    /** Writes a warning, unless there were too many lately; the values take the places of {@code {0}} and so on. */
    public void warn(String text, Object... values) {
        if (!limiter.tryAcquire()) {
            suppressed++;
            return;
        }
        if (suppressed > 0) {
            log.log(Level.WARNING, "{0} more warnings were not written", Long.toString(suppressed));
            suppressed = 0;
        }
        log.log(Level.WARNING, text, values);
    }
}
