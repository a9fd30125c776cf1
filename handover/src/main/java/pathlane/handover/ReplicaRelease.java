package pathlane.handover;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import pathlane.core.Scheduler;
import pathlane.group.LeaseHolder;

/**
 * Guards calls against a group that can't agree: while the own lease has lapsed, all holders are asked to drop their
 * replicas and not to act by them. Once all have, the calls are this controller's alone. On the loop's thread.
 */
final class ReplicaRelease {

    private static final Duration ASK_EVERY = Duration.ofMillis(250);

    private final Scheduler scheduler;
    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final PeerConnections links;
    private final Runnable released;
    /** Keepers that have dropped their replicas since the lease lapsed. */
    private final Set<Long> releasedBy = new HashSet<>();
    private boolean stopped;

    /** {@code released} runs once all holders have dropped their replicas. */
    ReplicaRelease(Scheduler scheduler, LeaseHolder leaseHolder, ReplicationLog replicationLog, PeerConnections links,
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
        PeerMessage question = new PeerMessage.DropReplicas(leaseHolder.token());
        replicationLog.replicaHolders().stream().filter(holder -> !releasedBy.contains(holder))
                .forEach(holder -> links.send(holder, question));
        scheduler.after(ASK_EVERY, this::ask);
    }

    /** A holder has answered. */
    void answered(long holder, PeerMessage.ReplicasDropped answer) {
        if (!answer.isDropped() || answer.owner() != leaseHolder.token()) {
            return;
        }
        // Also where the lease is valid again by now: what the holder dropped is not replicated before it has it anew.
        replicationLog.replicasDroppedAt(holder);
        if (!leaseHolder.hasLapsed()) {
            return;
        }
        releasedBy.add(holder);
        if (releasedBy.containsAll(replicationLog.replicaHolders())) {
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
