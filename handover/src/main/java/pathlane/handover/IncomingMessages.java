package pathlane.handover;

import java.util.List;
import java.util.function.Consumer;
import pathlane.core.CallEvent;
import pathlane.group.LeaseRegistry;
import pathlane.group.RegistryAccess;

/** Dispatches the messages of other members, and replies to them. Confined to the event loop thread. */
final class IncomingMessages implements PeerConnections.Handler {

    /** Handles the events that other members report. */
    interface EventHandler {
        /** Returns whether the event is handled here, or stored until it is. */
        boolean handle(CallEvent event);
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
    public void connected(long member) {
        replicationLog.connected(member);
    }

    @Override
    public void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> reply) {
        if (message instanceof PeerMessage.ShardSnapshot snapshot) {
            if (mayBeLive(snapshot.owner())) {
                replicaStore.storeSnapshot(snapshot, stream);
            }
        } else if (message instanceof PeerMessage.Changes changes) {
            applyChanges(changes, stream, reply);
        } else if (message instanceof PeerMessage.ViewReplicated viewReplicated) {
            reply.accept(replicaStore.viewReplicated(viewReplicated, stream));
        } else if (message instanceof PeerMessage.Acknowledged acknowledged) {
            replicationLog.acknowledged(from, acknowledged);
        } else if (message instanceof PeerMessage.FetchShard fetch) {
            fetchShard(fetch, reply);
        } else if (message instanceof PeerMessage.ShardFetched fetched) {
            shardAdoption.fetched(from, fetched);
        } else if (message instanceof PeerMessage.EventReport report) {
            reply.accept(new PeerMessage.EventReply(report.requestId(), eventHandler.handle(report.event())));
        } else if (message instanceof PeerMessage.EventReply eventReply) {
            orphanedEvents.replied(eventReply);
        } else if (message instanceof PeerMessage.DropReplicas drop) {
            dropReplicas(drop.owner(), reply);
        } else if (message instanceof PeerMessage.ReplicasDropped dropped) {
            replicaRelease.replied(from, dropped);
        }
    }

    private void applyChanges(PeerMessage.Changes changes, long stream, Consumer<PeerMessage> reply) {
        if (mayBeLive(changes.owner())) {
            replicaStore.applyChanges(changes, stream);
        }
        if (changes.upTo() >= 0) {
            reply.accept(replicaStore.acknowledgement(changes.owner()));
        }
    }

    /**
     * Replies with the replica of a shard. As long as the end of the owner's lease is not known here, more of its changes
     * may arrive: the request is ignored then, and the sender retries it.
     */
    private void fetchShard(PeerMessage.FetchShard fetch, Consumer<PeerMessage> reply) {
        if (!registry.registry().isLive(fetch.owner())) {
            reply.accept(replicaStore.copy(fetch.owner(), fetch.shard())
                    .map(copy -> new PeerMessage.ShardFetched(fetch.owner(), fetch.shard(), copy.upTo(), copy.records()))
                    .orElse(new PeerMessage.ShardFetched(fetch.owner(), fetch.shard(), -1, List.of())));
        }
    }

    /** Drops the replicas of an owner whose lease has lapsed, unless this member may already act on them. */
    private void dropReplicas(long owner, Consumer<PeerMessage> reply) {
        boolean mayDrop = !shardAdoption.hasClaimed(owner);
        List<CallEvent> events = mayDrop ? replicaStore.dropReplicas(owner) : List.of();
        events.forEach(event -> orphanedEvents.reportToOwner(event, owner));
        reply.accept(new PeerMessage.ReplicasDropped(owner, mayDrop));
    }

    /** Guards against late messages of a lease that has ended: what arrives of them now was never acknowledged. */
    private boolean mayBeLive(long owner) {
        LeaseRegistry current = registry.registry();
        return owner > current.lastToken() || current.isLive(owner);
    }
}
