package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import pathlane.core.Scheduler;
import pathlane.group.LeaseHolder;
import pathlane.group.RegistryAccess;

/**
 * A member's planned end: its records are sent, its lease is given up, and once the register has said so what is left is
 * passed on. Each step is waited for only so long. On the loop's thread.
 */
final class GracefulLeave {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration FLUSH_MOST = Duration.ofMillis(500);
    private static final Duration LEAVE_MOST = Duration.ofSeconds(1);
    private static final Duration LEAVE_CHECK = Duration.ofMillis(10);
    /** What was passed on last leaves within this. */
    private static final Duration LAST_MESSAGES = Duration.ofMillis(100);

    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final Duration flushCheck;
    private Runnable passOn;
    private Runnable done;

    /** {@code window} is how long a change of the records may wait for others. */
    GracefulLeave(Scheduler scheduler, RegistryAccess registry, LeaseHolder leaseHolder, ReplicationLog replicationLog,
            Duration window) {
        this.scheduler = scheduler;
        this.registry = registry;
        this.leaseHolder = leaseHolder;
        this.replicationLog = replicationLog;
        this.flushCheck = window.plusMillis(1);
    }

    /**
     * Begins.
     *
     * @param onLeft runs once the lease has ended in the register, or could not be given up in time
     * @param onDone runs last
     */
    void begin(Runnable onLeft, Runnable onDone) {
        passOn = onLeft;
        done = onDone;
        replicationLog.flush();
        leaveOnceKept(scheduler.now().plus(FLUSH_MOST));
    }

    private void leaveOnceKept(Instant until) {
        if (leaseHolder.isValid() && !replicationLog.isReplicated() && scheduler.now().isBefore(until)) {
            scheduler.after(flushCheck, () -> leaveOnceKept(until));
            return;
        }
        long token = leaseHolder.token();
        LOG.log(Level.INFO, "leaves the group: {0} calls are handed over", Integer.toString(replicationLog.shared().size()));
        leaseHolder.leave();
        awaitLeft(token, scheduler.now().plus(LEAVE_MOST));
    }

    private void awaitLeft(long token, Instant until) {
        if (token != 0 && registry.registry().isLive(token) && scheduler.now().isBefore(until)) {
            scheduler.after(LEAVE_CHECK, () -> awaitLeft(token, until));
            return;
        }
        passOn.run();
        scheduler.after(LAST_MESSAGES, done);
    }
}
