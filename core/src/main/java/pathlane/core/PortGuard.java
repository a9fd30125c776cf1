package pathlane.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import pathlane.core.Counters.Name;

/**
 * Runs actions on the ports of clients and servers so that an unexpected exception affects only the call that the action is
 * for. Otherwise it would pass through the policy, which loses the waiting calls that it has yet to look at, and end the
 * connection whose input happened to cause the decision. Runs on the event loop's thread.
 */
final class PortGuard {

    private static final Logger LOG = System.getLogger("calls");
    /** The minimum interval between two logged stack traces; all exceptions are counted. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final Scheduler scheduler;
    private final Counters counters;
    private Instant nextLogAt = Instant.MIN;

    PortGuard(Scheduler scheduler, Counters counters) {
        this.scheduler = scheduler;
        this.counters = counters;
    }

    /** Runs an action for a call; returns false if it threw an unexpected exception, which is counted and logged. */
    boolean run(String callId, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException e) {
            counters.count(Name.INTERNAL_ERRORS);
            log(callId, e);
            return false;
        }
    }

    private void log(String callId, RuntimeException exception) {
        Instant now = scheduler.now();
        if (!now.isBefore(nextLogAt)) {
            nextLogAt = now.plus(LOG_INTERVAL);
            LOG.log(Level.WARNING, "unexpected exception in the handling of call " + callId, exception);
        }
    }
}
