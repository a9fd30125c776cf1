package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import pathlane.core.Scheduler;
import pathlane.group.LeaseHolder;
import pathlane.group.RegistryAccess;

/**
 * A member's graceful leave: its records are sent and its lease is given up; once the registry has confirmed that, the
 * remaining work is passed on. Each step has a timeout. Confined to the event loop thread.
 */
final class GracefulLeave {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration MAX_FLUSH_WAIT = Duration.ofMillis(500);
    private static final Duration MAX_LEAVE_WAIT = Duration.ofSeconds(1);
    private static final Duration LEAVE_POLL_INTERVAL = Duration.ofMillis(10);
    /** Time for the last messages to be written. */
    private static final Duration FINAL_SEND_DELAY = Duration.ofMillis(100);

    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final Duration flushPollInterval;
    private Runnable leftCallback;
    private Runnable doneCallback;

    /** {@code batchWindow} is how long a change of the records may be delayed to be batched with others. */
    GracefulLeave(Scheduler scheduler, RegistryAccess registry, LeaseHolder leaseHolder, ReplicationLog replicationLog,
            Duration batchWindow) {
        this.scheduler = scheduler;
        this.registry = registry;
        this.leaseHolder = leaseHolder;
        this.replicationLog = replicationLog;
        this.flushPollInterval = batchWindow.plusMillis(1);
    }

    /**
     * Starts.
     *
     * @param onLeft runs once the lease has ended in the registry, or could not be given up in time
     * @param onDone runs last
     */
    void begin(Runnable onLeft, Runnable onDone) {
        leftCallback = onLeft;
        doneCallback = onDone;
        replicationLog.flush();
        leaveOnceReplicated(scheduler.now().plus(MAX_FLUSH_WAIT));
    }

    private void leaveOnceReplicated(Instant deadline) {
        if (leaseHolder.isValid() && !replicationLog.isReplicated() && scheduler.now().isBefore(deadline)) {
            scheduler.after(flushPollInterval, () -> leaveOnceReplicated(deadline));
            return;
        }
        long token = leaseHolder.token();
        LOG.log(Level.INFO, "leaves the group: {0} calls are handed over",
                Integer.toString(replicationLog.sharedRecords().size()));
        leaseHolder.leave();
        awaitLeaseEnd(token, scheduler.now().plus(MAX_LEAVE_WAIT));
    }

    private void awaitLeaseEnd(long token, Instant deadline) {
        if (token != 0 && registry.registry().isLive(token) && scheduler.now().isBefore(deadline)) {
            scheduler.after(LEAVE_POLL_INTERVAL, () -> awaitLeaseEnd(token, deadline));
            return;
        }
        leftCallback.run();
        scheduler.after(FINAL_SEND_DELAY, doneCallback);
    }
}
