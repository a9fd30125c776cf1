package pathlane.handover;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import pathlane.core.Scheduler;
import pathlane.group.LeaseHolder;

/**
 * Keeps calls served while the group can't reach agreement: once this controller's lease has lapsed, all replica holders are
 * asked to drop their replicas and not to act on them. When all have done so, no other member can act on the calls. Confined
 * to the event loop thread.
 */
final class ReplicaRelease {

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(250);

    private final Scheduler scheduler;
    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final PeerConnections connections;
    private final Runnable onReleased;
    /** Replica holders that have dropped their replicas since the lease lapsed. */
    private final Set<Long> releasedHolders = new HashSet<>();
    private boolean isStopped;

    /** {@code onReleased} runs once all replica holders have dropped their replicas. */
    ReplicaRelease(Scheduler scheduler, LeaseHolder leaseHolder, ReplicationLog replicationLog, PeerConnections connections,
            Runnable onReleased) {
        this.scheduler = scheduler;
        this.leaseHolder = leaseHolder;
        this.replicationLog = replicationLog;
        this.connections = connections;
        this.onReleased = onReleased;
    }

    /** The lease has lapsed: sends requests, and repeats them as long as it has. */
    void begin() {
        releasedHolders.clear();
        sendRequests();
    }

    private void sendRequests() {
        if (!leaseHolder.hasLapsed() || isStopped) {
            return;
        }
        PeerMessage request = new PeerMessage.DropReplicas(leaseHolder.token());
        replicationLog.replicaHolders().stream().filter(holder -> !releasedHolders.contains(holder))
                .forEach(holder -> connections.send(holder, request));
        scheduler.after(REQUEST_INTERVAL, this::sendRequests);
    }

    /** A replica holder has replied. */
    void replied(long holder, PeerMessage.ReplicasDropped reply) {
        if (!reply.isDropped() || reply.owner() != leaseHolder.token()) {
            return;
        }
        // Done even if the lease is valid again by now: what the replica holder dropped is not replicated until it is sent
        // anew.
        replicationLog.replicasDroppedAt(holder);
        if (!leaseHolder.hasLapsed()) {
            return;
        }
        releasedHolders.add(holder);
        if (releasedHolders.containsAll(replicationLog.replicaHolders())) {
            onReleased.run();
        }
    }

    /** A lease was granted: replies to earlier requests no longer count. */
    void clear() {
        releasedHolders.clear();
    }

    void stop() {
        isStopped = true;
    }
}
