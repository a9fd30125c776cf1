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
import pathlane.group.Member;
import pathlane.group.Placement;
import pathlane.group.Register;
import pathlane.group.Registrar;

/**
 * Forwards events of calls to the member that acts on the call, where they arrived at another one: a release on any
 * connection from callers, an end on any connection to the server. An event is stored beside the call's record, at all its
 * keepers, until the acting member has acknowledged it, since nobody may act for a while. On the loop's thread.
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

    private final Registrar registrar;
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
    OrphanedEvents(Registrar registrar, Scheduler scheduler, ReplicaStore replicaStore, ReplicationLog.Transport transport,
            LongSupplier self, Consumer<CallEvent> unowned) {
        this.registrar = registrar;
        this.scheduler = scheduler;
        this.replicaStore = replicaStore;
        this.transport = transport;
        this.self = self;
        this.unowned = unowned;
    }

    /** An event of a call that another member owns, or nobody, has arrived here. */
    void tell(CallEvent event) {
        if (keep(event)) {
            return;
        }
        Register register = registrar.seen();
        // Whoever it belongs to, its keepers are among the first of its slot.
        List<Member> asked = Placement.keepers(Placement.slot(event.callId()), register.members(), self.getAsLong(),
                register.copies() + 1);
        if (asked.isEmpty()) {
            scheduler.after(Duration.ZERO, () -> unowned.accept(event));
        } else {
            ask(event, false, asked);
        }
    }

    /** An event of a call whose records were just dropped here for its owner: that one is notified. */
    void tellOwner(CallEvent event, long owner) {
        if (registrar.seen().isLive(owner)) {
            ask(event, false, List.of(registrar.seen().member(owner).orElseThrow()));
        } else {
            tell(event);
        }
    }

    private void ask(CallEvent event, boolean kept, List<Member> members) {
        long ask = ++asks;
        open.put(ask, new Open(event, kept, members.size()));
        members.forEach(member -> transport.send(member.token(), new PeerMessage.Told(ask, event)));
        scheduler.after(ANSWER_MOST, () -> close(ask));
    }

    /** A member's answer whether the event is handled. */
    void known(PeerMessage.Known known) {
        Open one = open.get(known.ask());
        if (one == null) {
            return;
        }
        if (known.known()) {
            open.remove(known.ask());
            if (one.kept) {
                replicaStore.done(one.event);
            }
        } else if (--one.awaited == 0) {
            close(known.ask());
        }
    }

    private void close(long ask) {
        Open one = open.remove(ask);
        if (one != null && !one.kept) {
            unowned.accept(one.event);
        }
    }

    /** Stores an event of a call whose record is kept here, and forwards it; false where no record is. */
    boolean keep(CallEvent event) {
        Optional<Long> owner = replicaStore.ownerOf(event.callId());
        if (owner.isEmpty()) {
            return false;
        }
        if (replicaStore.happened(event)) {
            deliver(event.callId(), owner.get());
            Register register = registrar.seen();
            int slot = Placement.slot(event.callId());
            List<Member> others = new ArrayList<>(register.estate(owner.get()).map(estate -> register.heirs(estate, slot))
                    .orElseGet(() -> register.keepers(owner.get(), slot, register.replicatedView(owner.get()))));
            others.removeIf(member -> member.token() == self.getAsLong() || !register.isLive(member.token()));
            others.forEach(member -> transport.send(member.token(), new PeerMessage.Told(0, event)));
        }
        return true;
    }

    /** Forwards the stored events to the members that act by now. */
    void deliver() {
        replicaStore.happenedTo().forEach(call -> replicaStore.ownerOf(call).ifPresent(owner -> deliver(call, owner)));
    }

    private void deliver(String call, long owner) {
        Optional<Member> acting = registrar.seen().actingFor(owner, Placement.slot(call));
        if (acting.isPresent() && acting.get().token() != self.getAsLong()) {
            replicaStore.happened(call).forEach(event -> ask(event, true, List.of(acting.get())));
        }
    }
}
