package pathlane.handover;

import java.util.List;
import java.util.function.Consumer;
import pathlane.core.CallEvent;
import pathlane.group.Register;
import pathlane.group.Registrar;

/** Passes each message of another member to the part that it is for, and answers it. On the loop's thread. */
final class IncomingMessages implements Links.Handler {

    /** What is done about an event that another member has reported. */
    interface EventHandler {
        /** Whether the event is handled here, or stored until it is. */
        boolean reported(CallEvent event);
    }

    private final Registrar registrar;
    private final ReplicaStore replicaStore;
    private final ReplicationLog replicationLog;
    private final Succession succession;
    private final OrphanedEvents orphanedEvents;
    private final ReplicaRelease replicaRelease;
    private final EventHandler eventHandler;

    IncomingMessages(Registrar registrar, ReplicaStore replicaStore, ReplicationLog replicationLog, Succession succession,
            OrphanedEvents orphanedEvents, ReplicaRelease replicaRelease, EventHandler eventHandler) {
        this.registrar = registrar;
        this.replicaStore = replicaStore;
        this.replicationLog = replicationLog;
        this.succession = succession;
        this.orphanedEvents = orphanedEvents;
        this.replicaRelease = replicaRelease;
        this.eventHandler = eventHandler;
    }

    @Override
    public void up(long member) {
        replicationLog.linkUp(member);
    }

    @Override
    public void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> answer) {
        if (message instanceof PeerMessage.Slot slot) {
            if (mayStillSend(slot.owner())) {
                replicaStore.slot(slot, stream);
            }
        } else if (message instanceof PeerMessage.Changes changes) {
            changes(changes, stream, answer);
        } else if (message instanceof PeerMessage.Placed placed) {
            answer.accept(replicaStore.placed(placed, stream));
        } else if (message instanceof PeerMessage.Kept kept) {
            replicationLog.kept(from, kept);
        } else if (message instanceof PeerMessage.Pull pull) {
            pull(pull, answer);
        } else if (message instanceof PeerMessage.Pulled pulled) {
            succession.pulled(from, pulled);
        } else if (message instanceof PeerMessage.Told told) {
            answer.accept(new PeerMessage.Known(told.ask(), eventHandler.reported(told.event())));
        } else if (message instanceof PeerMessage.Known known) {
            orphanedEvents.known(known);
        } else if (message instanceof PeerMessage.Free free) {
            free(free.owner(), answer);
        } else if (message instanceof PeerMessage.Freed freed) {
            replicaRelease.answered(from, freed);
        }
    }

    private void changes(PeerMessage.Changes changes, long stream, Consumer<PeerMessage> answer) {
        if (mayStillSend(changes.owner())) {
            replicaStore.changes(changes, stream);
        }
        if (changes.upTo() >= 0) {
            answer.accept(replicaStore.upTo(changes.owner()));
        }
    }

    /** More may come from an owner as long as its end is not known here: a pull is answered after that, and asked again. */
    private void pull(PeerMessage.Pull pull, Consumer<PeerMessage> answer) {
        if (!registrar.seen().isLive(pull.owner())) {
            answer.accept(replicaStore.copy(pull.owner(), pull.slot())
                    .map(copy -> new PeerMessage.Pulled(pull.owner(), pull.slot(), copy.upTo(), copy.records()))
                    .orElse(new PeerMessage.Pulled(pull.owner(), pull.slot(), -1, List.of())));
        }
    }

    /** An owner whose lease has lapsed asks that nobody acts by its records from here. */
    private void free(long owner, Consumer<PeerMessage> answer) {
        boolean mayFree = !succession.hasClaimed(owner);
        List<CallEvent> events = mayFree ? replicaStore.free(owner) : List.of();
        events.forEach(event -> orphanedEvents.tellOwner(event, owner));
        answer.accept(new PeerMessage.Freed(owner, mayFree));
    }

    /** Guards what was sent by a lease that has ended: what its owner sent then and arrives now was never kept. */
    private boolean mayStillSend(long owner) {
        Register register = registrar.seen();
        return owner > register.lastToken() || register.isLive(owner);
    }
}
