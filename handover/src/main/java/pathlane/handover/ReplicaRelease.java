package pathlane.handover;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import pathlane.core.Scheduler;
import pathlane.group.LeaseHolder;

/**
 * Guards calls against a group that can't agree: while the own lease has lapsed, all keepers are asked to drop their
 * replicas and not to act by them. Once all have, the calls are this controller's alone. On the loop's thread.
 */
final class ReplicaRelease {

    private static final Duration ASK_EVERY = Duration.ofMillis(250);

    private final Scheduler scheduler;
    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final Links links;
    private final Runnable released;
    /** Keepers that have dropped their replicas since the lease lapsed. */
    private final Set<Long> releasedBy = new HashSet<>();
    private boolean stopped;

    /** {@code released} runs once all keepers have dropped their replicas. */
    ReplicaRelease(Scheduler scheduler, LeaseHolder leaseHolder, ReplicationLog replicationLog, Links links,
            Runnable released) {
        this.scheduler = scheduler;
        this.leaseHolder = leaseHolder;
        this.replicationLog = replicationLog;
        this.links = links;
        this.released = released;
    }

    /** The lease has lapsed: asks, and goes on asking while it has. */
    void begin() {
        releasedBy.clear();
        ask();
    }

    private void ask() {
        if (!leaseHolder.hasLapsed() || stopped) {
            return;
        }
        PeerMessage question = new PeerMessage.Free(leaseHolder.token());
        replicationLog.keepers().stream().filter(keeper -> !releasedBy.contains(keeper))
                .forEach(keeper -> links.send(keeper, question));
        scheduler.after(ASK_EVERY, this::ask);
    }

    /** A keeper has answered. */
    void answered(long keeper, PeerMessage.Freed answer) {
        if (!answer.free() || answer.owner() != leaseHolder.token()) {
            return;
        }
        // Also where the lease is valid again by now: what the keeper dropped is not replicated before it has it anew.
        replicationLog.dropped(keeper);
        if (!leaseHolder.hasLapsed()) {
            return;
        }
        releasedBy.add(keeper);
        if (releasedBy.containsAll(replicationLog.keepers())) {
            released.run();
        }
    }

    /** A lease was granted: answers to earlier questions count no more. */
    void clear() {
        releasedBy.clear();
    }

    void stop() {
        stopped = true;
    }
}
