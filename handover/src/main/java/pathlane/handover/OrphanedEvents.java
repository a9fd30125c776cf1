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
 * Forwards events of calls to the member that acts on the call, where they arrived at another one: a release on any
 * connection from callers, an end on any connection to the server. An event is stored beside the call's record, at all its
 * holders, until the acting member has acknowledged it, since nobody may act for a while. On the loop's thread.
 */
final class OrphanedEvents {

    private static final Duration ANSWER_MOST = Duration.ofMillis(400);

    /** An event that was sent to others and awaits their acknowledgement. */
    private static final class Open {
        final CallEvent event;
        final boolean kept;
        int awaited;

        Open(CallEvent event, boolean kept, int awaited) {
            this.event = event;
            this.kept = kept;
            this.awaited = awaited;
        }
    }

    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final ReplicaStore replicaStore;
    private final ReplicationLog.Transport transport;
    private final LongSupplier self;
    private final Consumer<CallEvent> unowned;
    private final Map<Long, Open> open = new HashMap<>();
    private long asks;

    /**
     * Sends nothing yet.
     *
     * @param self the token of the present lease
     * @param unowned receives events of calls that no member knows
     */
    OrphanedEvents(RegistryAccess registry, Scheduler scheduler, ReplicaStore replicaStore,
            ReplicationLog.Transport transport,
            LongSupplier self, Consumer<CallEvent> unowned) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.replicaStore = replicaStore;
        this.transport = transport;
        this.self = self;
        this.unowned = unowned;
    }

    /** An event of a call that another member owns, or nobody, has arrived here. */
    void report(CallEvent event) {
        if (store(event)) {
            return;
        }
        LeaseRegistry register = registry.registry();
        // Whoever it belongs to, its holders are among the first of its shard.
        List<Member> asked =
                ShardPlacement.replicaHolders(ShardPlacement.shardOf(event.callId()), register.members(), self.getAsLong(),
                        register.replicaCount() + 1);
        if (asked.isEmpty()) {
            scheduler.after(Duration.ZERO, () -> unowned.accept(event));
        } else {
            ask(event, false, asked);
        }
    }

    /** An event of a call whose records were just dropped here for its owner: that one is notified. */
    void reportToOwner(CallEvent event, long owner) {
        if (registry.registry().isLive(owner)) {
            ask(event, false, List.of(registry.registry().member(owner).orElseThrow()));
        } else {
            report(event);
        }
    }

    private void ask(CallEvent event, boolean kept, List<Member> members) {
        long ask = ++asks;
        open.put(ask, new Open(event, kept, members.size()));
        members.forEach(member -> transport.send(member.token(), new PeerMessage.EventReport(ask, event)));
        scheduler.after(ANSWER_MOST, () -> close(ask));
    }

    /** A member's answer whether the event is handled. */
    void replied(PeerMessage.EventReply known) {
        Open one = open.get(known.requestId());
        if (one == null) {
            return;
        }
        if (known.isHandled()) {
            open.remove(known.requestId());
            if (one.kept) {
                replicaStore.removeEvent(one.event);
            }
        } else if (--one.awaited == 0) {
            close(known.requestId());
        }
    }

    private void close(long ask) {
        Open one = open.remove(ask);
        if (one != null && !one.kept) {
            unowned.accept(one.event);
        }
    }

    /** Stores an event of a call whose record is kept here, and forwards it; false where no record is. */
    boolean store(CallEvent event) {
        Optional<Long> owner = replicaStore.ownerOf(event.callId());
        if (owner.isEmpty()) {
            return false;
        }
        if (replicaStore.storeEvent(event)) {
            deliver(event.callId(), owner.get());
            LeaseRegistry register = registry.registry();
            int shard = ShardPlacement.shardOf(event.callId());
            List<Member> others = new ArrayList<>(register.orphan(owner.get())
                    .map(orphan -> register.successors(orphan, shard))
                    .orElseGet(() -> register.replicaHolders(owner.get(), shard, register.replicatedView(owner.get()))));
            others.removeIf(member -> member.token() == self.getAsLong() || !register.isLive(member.token()));
            others.forEach(member -> transport.send(member.token(), new PeerMessage.EventReport(0, event)));
        }
        return true;
    }

    /** Forwards the stored events to the members that act by now. */
    void deliver() {
        replicaStore.callsWithEvents().forEach(call -> replicaStore.ownerOf(call).ifPresent(owner -> deliver(call, owner)));
    }

    private void deliver(String call, long owner) {
        Optional<Member> acting = registry.registry().currentOwner(owner, ShardPlacement.shardOf(call));
        if (acting.isPresent() && acting.get().token() != self.getAsLong()) {
            replicaStore.storeEvent(call).forEach(event -> ask(event, true, List.of(acting.get())));
        }
    }
}
