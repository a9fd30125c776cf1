package pathlane.transport;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import pathlane.core.Scheduler;

/** Logs warnings that a peer can cause at will: a limited number is written, the others are counted. */
public final class RateLimitedLog {

    private static final int BURST = 20;
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Logger log;
    private final RateLimiter limiter;
    private long suppressed;

    /** Creates a log that writes to the logger of this name. */
    public RateLimitedLog(String loggerName, Scheduler scheduler) {
        this.log = System.getLogger(loggerName);
        this.limiter = new RateLimiter(BURST, INTERVAL, scheduler);
    }

    /** Logs a warning unless the rate limit is exceeded; the values replace {@code {0}} and so on. */
    public void warn(String text, Object... values) {
        if (!limiter.tryAcquire()) {
            suppressed++;
            return;
        }
        if (suppressed > 0) {
            log.log(Level.WARNING, "{0} more warnings were suppressed", Long.toString(suppressed));
            suppressed = 0;
        }
        log.log(Level.WARNING, text, values);
    }
}
