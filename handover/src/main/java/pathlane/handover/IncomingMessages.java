package pathlane.handover;

import java.util.List;
import java.util.function.Consumer;
import pathlane.core.CallEvent;
import pathlane.group.LeaseRegistry;
import pathlane.group.RegistryAccess;

/** Passes each message of another member to the part that it is for, and answers it. On the loop's thread. */
final class IncomingMessages implements PeerConnections.Handler {

    /** What is done about an event that another member has reported. */
    interface EventHandler {
        /** Whether the event is handled here, or stored until it is. */
        boolean reported(CallEvent event);
    }

    private final RegistryAccess registry;
    private final ReplicaStore replicaStore;
    private final ReplicationLog replicationLog;
    private final ShardAdoption shardAdoption;
    private final OrphanedEvents orphanedEvents;
    private final ReplicaRelease replicaRelease;
    private final EventHandler eventHandler;

    IncomingMessages(RegistryAccess registry, ReplicaStore replicaStore, ReplicationLog replicationLog,
            ShardAdoption shardAdoption,
            OrphanedEvents orphanedEvents, ReplicaRelease replicaRelease, EventHandler eventHandler) {
        this.registry = registry;
        this.replicaStore = replicaStore;
        this.replicationLog = replicationLog;
        this.shardAdoption = shardAdoption;
        this.orphanedEvents = orphanedEvents;
        this.replicaRelease = replicaRelease;
        this.eventHandler = eventHandler;
    }

    @Override
    public void up(long member) {
        replicationLog.connected(member);
    }

    @Override
    public void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> answer) {
        if (message instanceof PeerMessage.ShardSnapshot shard) {
            if (mayStillSend(shard.owner())) {
                replicaStore.storeSnapshot(shard, stream);
            }
        } else if (message instanceof PeerMessage.Changes changes) {
            changes(changes, stream, answer);
        } else if (message instanceof PeerMessage.ViewReplicated placed) {
            answer.accept(replicaStore.viewReplicated(placed, stream));
        } else if (message instanceof PeerMessage.Acknowledged kept) {
            replicationLog.acknowledged(from, kept);
        } else if (message instanceof PeerMessage.FetchShard pull) {
            pull(pull, answer);
        } else if (message instanceof PeerMessage.ShardFetched pulled) {
            shardAdoption.fetched(from, pulled);
        } else if (message instanceof PeerMessage.EventReport told) {
            answer.accept(new PeerMessage.EventReply(told.requestId(), eventHandler.reported(told.event())));
        } else if (message instanceof PeerMessage.EventReply known) {
            orphanedEvents.replied(known);
        } else if (message instanceof PeerMessage.DropReplicas free) {
            free(free.owner(), answer);
        } else if (message instanceof PeerMessage.ReplicasDropped freed) {
            replicaRelease.answered(from, freed);
        }
    }

    private void changes(PeerMessage.Changes changes, long stream, Consumer<PeerMessage> answer) {
        if (mayStillSend(changes.owner())) {
            replicaStore.applyChanges(changes, stream);
        }
        if (changes.upTo() >= 0) {
            answer.accept(replicaStore.acknowledgement(changes.owner()));
        }
    }

    /** More may come from an owner as long as its end is not known here: a pull is answered after that, and asked again. */
    private void pull(PeerMessage.FetchShard pull, Consumer<PeerMessage> answer) {
        if (!registry.registry().isLive(pull.owner())) {
            answer.accept(replicaStore.copy(pull.owner(), pull.shard())
                    .map(copy -> new PeerMessage.ShardFetched(pull.owner(), pull.shard(), copy.upTo(), copy.records()))
                    .orElse(new PeerMessage.ShardFetched(pull.owner(), pull.shard(), -1, List.of())));
        }
    }

    /** An owner whose lease has lapsed asks that nobody acts by its records from here. */
    private void free(long owner, Consumer<PeerMessage> answer) {
        boolean mayFree = !shardAdoption.hasClaimed(owner);
        List<CallEvent> events = mayFree ? replicaStore.dropReplicas(owner) : List.of();
        events.forEach(event -> orphanedEvents.reportToOwner(event, owner));
        answer.accept(new PeerMessage.ReplicasDropped(owner, mayFree));
    }

    /** Guards what was sent by a lease that has ended: what its owner sent then and arrives now was never kept. */
    private boolean mayStillSend(long owner) {
        LeaseRegistry register = registry.registry();
        return owner > register.lastToken() || register.isLive(owner);
    }
}
