package pathlane.link;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import pathlane.core.Scheduler;

/** Warnings that the other side can bring about at will: only so many are written, the others are counted. */
public final class LimitedLog {

    private static final int AT_ONCE = 20;
    private static final Duration EVERY = Duration.ofSeconds(1);

    private final Logger log;
    private final RateLimit limit;
    private long passedOver;

    public LimitedLog(String part, Scheduler scheduler) {
        this.log = System.getLogger(part);
        this.limit = new RateLimit(AT_ONCE, EVERY, scheduler);
    }

    public void warn(String text, Object... values) {
        if (!limit.take()) {
            passedOver++;
            return;
        }
        if (passedOver > 0) {
            log.log(Level.WARNING, "{0} more warnings were not written", Long.toString(passedOver));
            passedOver = 0;
        }
        log.log(Level.WARNING, text, values);
    }
}
