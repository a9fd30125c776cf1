package pathlane.handover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pathlane.core.CallEvent;
import pathlane.core.Scheduler;
import pathlane.group.LeaseRegistry;
import pathlane.group.Member;
import pathlane.group.RegistryAccess;
import pathlane.group.ShardPlacement;

/**
 * Forwards call events that arrived at another member to the member that acts on the call: a release may arrive on any
 * client connection, the end of a call on any connection to its server. Since there may be no acting member for a while, an
 * event is stored beside the call's record, at all its replica holders, until the acting member has acknowledged it.
 * Confined to the event loop thread.
 */
final class OrphanedEvents {

    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(400);

    /** An event that was sent to other members and awaits their replies. */
    private static final class PendingReport {
        final CallEvent event;
        final boolean isStored;
        int awaitedReplies;

        PendingReport(CallEvent event, boolean isStored, int awaitedReplies) {
            this.event = event;
            this.isStored = isStored;
            this.awaitedReplies = awaitedReplies;
        }
    }

    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final ReplicaStore replicaStore;
    private final ReplicationLog.Transport transport;
    private final LongSupplier ownToken;
    private final Consumer<CallEvent> unownedHandler;
    private final Map<Long, PendingReport> pendingReports = new HashMap<>();
    private long lastRequestId;

    /**
     * Does not send anything yet.
     *
     * @param ownToken the token of the current lease
     * @param unownedHandler receives events of calls that no member knows
     */
    OrphanedEvents(RegistryAccess registry, Scheduler scheduler, ReplicaStore replicaStore,
            ReplicationLog.Transport transport,
            LongSupplier ownToken, Consumer<CallEvent> unownedHandler) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.replicaStore = replicaStore;
        this.transport = transport;
        this.ownToken = ownToken;
        this.unownedHandler = unownedHandler;
    }

    /** Reports an event that has arrived here, of a call that another member owns or none does. */
    void report(CallEvent event) {
        if (store(event)) {
            return;
        }
        LeaseRegistry current = registry.registry();
        // Whoever owns the call, its replica holders are among the first members for its shard.
        List<Member> holders =
                ShardPlacement.replicaHolders(ShardPlacement.shardOf(event.callId()), current.members(),
                        ownToken.getAsLong(), current.replicaCount() + 1);
        if (holders.isEmpty()) {
            scheduler.after(Duration.ZERO, () -> unownedHandler.accept(event));
        } else {
            sendReport(event, false, holders);
        }
    }

    /** Reports an event of a call to its owner, for which the replica here was just dropped. */
    void reportToOwner(CallEvent event, long owner) {
        if (registry.registry().isLive(owner)) {
            sendReport(event, false, List.of(registry.registry().member(owner).orElseThrow()));
        } else {
            report(event);
        }
    }

    private void sendReport(CallEvent event, boolean isStored, List<Member> members) {
        long requestId = ++lastRequestId;
        pendingReports.put(requestId, new PendingReport(event, isStored, members.size()));
        members.forEach(member -> transport.send(member.token(), new PeerMessage.EventReport(requestId, event)));
        scheduler.after(REPLY_TIMEOUT, () -> expire(requestId));
    }

    /** A member has replied whether the event is handled. */
    void replied(PeerMessage.EventReply reply) {
        PendingReport pending = pendingReports.get(reply.requestId());
        if (pending == null) {
            return;
        }
        if (reply.isHandled()) {
            pendingReports.remove(reply.requestId());
            if (pending.isStored) {
                replicaStore.removeEvent(pending.event);
            }
        } else if (--pending.awaitedReplies == 0) {
            expire(reply.requestId());
        }
    }

    private void expire(long requestId) {
        PendingReport pending = pendingReports.remove(requestId);
        if (pending != null && !pending.isStored) {
            unownedHandler.accept(pending.event);
        }
    }

    /** Stores and forwards an event of a call whose replica is held here; returns false if there is no replica. */
    boolean store(CallEvent event) {
        Optional<Long> owner = replicaStore.ownerOf(event.callId());
        if (owner.isEmpty()) {
            return false;
        }
        if (replicaStore.storeEvent(event)) {
            deliver(event.callId(), owner.get());
            LeaseRegistry current = registry.registry();
            int shard = ShardPlacement.shardOf(event.callId());
            List<Member> otherHolders = new ArrayList<>(current.orphan(owner.get())
                    .map(orphan -> current.successors(orphan, shard))
                    .orElseGet(() -> current.replicaHolders(owner.get(), shard, current.replicatedView(owner.get()))));
            otherHolders.removeIf(member -> member.token() == ownToken.getAsLong() || !current.isLive(member.token()));
            otherHolders.forEach(member -> transport.send(member.token(), new PeerMessage.EventReport(0, event)));
        }
        return true;
    }

    /** Forwards the stored events to the members that now act on their calls. */
    void deliver() {
        replicaStore.callsWithEvents().forEach(
                callId -> replicaStore.ownerOf(callId).ifPresent(owner -> deliver(callId, owner)));
    }

    private void deliver(String callId, long owner) {
        Optional<Member> actingMember = registry.registry().currentOwner(owner, ShardPlacement.shardOf(callId));
        if (actingMember.isPresent() && actingMember.get().token() != ownToken.getAsLong()) {
            replicaStore.storeEvent(callId).forEach(event -> sendReport(event, true, List.of(actingMember.get())));
        }
    }
}
