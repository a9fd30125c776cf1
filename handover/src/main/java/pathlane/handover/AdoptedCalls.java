package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pathlane.core.CallController;
import pathlane.core.CallEvent;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.group.RegistryAccess;
import pathlane.group.ShardPlacement;

/**
 * The calls of ended leases that this member adopts, from the claim of their shard until the shard is completed in the
 * registry and the former owner's records are dropped. Confined to the event loop thread.
 */
final class AdoptedCalls implements ShardAdoption.Listener {

    private static final Logger LOG = System.getLogger("group");
    /** The event bus may list a server up to 9.5 s late: an adopted call waits for its server for so long. */
    private static final Duration SERVER_LISTING_TIMEOUT = Duration.ofSeconds(10);

    private record ShardKey(long owner, int shard) {}

    /** An attempt that was in flight when its owner's lease ended; it counts as orphaned from {@code orphanedAt} on. */
    private record OpenAttempt(CallRecord record, Instant orphanedAt) {}

    private final HandoverSettings settings;
    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final PeerConnections connections;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final Consumer<CallEvent> eventHandler;
    private final Map<String, OpenAttempt> openAttempts = new HashMap<>();
    /** Calls of shards that are not completed: the former owner's records of them still exist. */
    private final Map<String, ShardKey> incompleteCalls = new HashMap<>();
    private final Map<ShardKey, List<String>> callsByShard = new HashMap<>();
    /** The number of the last change of this member's own records that concerned a shard. */
    private final Map<ShardKey, Long> lastChangeByShard = new HashMap<>();
    /** Calls whose server is not in the endpoint list yet, with the time until which it is waited for. */
    private final Map<String, Instant> awaitingServer = new LinkedHashMap<>();
    private CallController controller;

    /** {@code eventHandler} handles an event that was stored for a call with an open attempt. */
    AdoptedCalls(HandoverSettings settings, Scheduler scheduler, RegistryAccess registry, PeerConnections connections,
            ReplicationLog replicationLog,
            ReplicaStore replicaStore, Consumer<CallEvent> eventHandler) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.registry = registry;
        this.connections = connections;
        this.replicationLog = replicationLog;
        this.replicaStore = replicaStore;
        this.eventHandler = eventHandler;
    }

    /** Starts; called before any call is adopted. */
    void start(CallController callController) {
        controller = callController;
    }

    @Override
    public void adopt(CallRecord record, long formerOwner, int shard) {
        ShardKey key = new ShardKey(formerOwner, shard);
        incompleteCalls.put(record.callId(), key);
        callsByShard.computeIfAbsent(key, any -> new ArrayList<>()).add(record.callId());
        switch (record.kind()) {
            case ESTABLISHED -> adoptEstablished(record, scheduler.now().plus(SERVER_LISTING_TIMEOUT));
            case IN_FLIGHT, RETRY_DELAYED -> adoptAttempt(record);
            case CLIENT_RELEASE_PENDING -> {
                completed(record.callId());
                controller.deliverRelease(record.callId(), new AdoptedClient(record.clientKey()), record.outcome());
            }
            case SERVER_RELEASE_PENDING -> {
                completed(record.callId());
                controller.deliverServerRelease(record.callId(), record.server(), record.releaseToken());
            }
            case COMPLETED -> {}
        }
        lastChangeByShard.put(key, replicationLog.lastChange());
    }

    private void adoptAttempt(CallRecord record) {
        Instant orphanedAt = scheduler.now().plus(record.remaining()).plus(settings.orphanTimeout());
        openAttempts.put(record.callId(), new OpenAttempt(record, orphanedAt));
        replicationLog.put(record);
        replicaStore.takeEvents(record.callId()).forEach(eventHandler);
    }

    @Override
    public void complete(String callId, long formerOwner, int shard) {
        ShardKey key = new ShardKey(formerOwner, shard);
        if (key.equals(incompleteCalls.get(callId))) {
            openAttempts.remove(callId);
            awaitingServer.remove(callId);
            controller.disown(callId);
            completed(callId);
            lastChangeByShard.put(key, replicationLog.lastChange());
        }
    }

    @Override
    public boolean isReplicated(long formerOwner, int shard) {
        return replicationLog.isReplicatedUpTo(lastChangeByShard.getOrDefault(new ShardKey(formerOwner, shard), 0L), shard);
    }

    @Override
    public void shardCompleted(long formerOwner, int shard) {
        ShardKey key = new ShardKey(formerOwner, shard);
        lastChangeByShard.remove(key);
        List<String> calls = callsByShard.remove(key);
        for (String callId : calls == null ? List.<String>of() : calls) {
            if (incompleteCalls.remove(callId, key)) {
                replicationLog.record(callId).filter(record -> record.kind() == CallRecord.Kind.COMPLETED)
                        .ifPresent(record -> replicationLog.drop(callId));
            }
        }
    }

    @Override
    public void send(long member, PeerMessage message) {
        connections.send(member, message);
    }

    /** Nothing is left to do for a call, adopted or not. */
    void completed(String callId) {
        replicationLog.drop(callId);
        if (incompleteCalls.containsKey(callId)) {
            // Guards against a successor that would adopt the call by its former owner's records.
            replicationLog.put(CallRecord.completed(callId));
        }
    }

    /** Whether the call's shard is not completed yet. */
    boolean isIncomplete(String callId) {
        return incompleteCalls.containsKey(callId);
    }

    /** Whether an attempt of the call was in flight when its owner's lease ended, and is unresolved. */
    boolean hasOpenAttempt(String callId) {
        return openAttempts.containsKey(callId);
    }

    /** Whether the call is established at a server that is not in the endpoint list yet. */
    boolean awaitsServer(String callId) {
        return awaitingServer.containsKey(callId);
    }

    /** The call is established at a server of this controller. */
    void established(String callId) {
        openAttempts.remove(callId);
    }

    /** Resolves an open attempt by an event; returns false if the event has yet to be sent to the client. */
    boolean resolveAttempt(CallEvent event) {
        OpenAttempt attempt = openAttempts.remove(event.callId());
        if (event instanceof CallEvent.Ended) {
            replicationLog.drop(event.callId());
            return false;   // sent over any client connection
        }
        completed(event.callId());
        controller.deliverServerRelease(event.callId(), attempt.record().server(), attempt.record().releaseToken());
        return true;
    }

    /** Retries calls whose server was not listed and, where {@code mayRelease}, releases orphaned attempts. */
    void tick(boolean mayRelease) {
        Instant now = scheduler.now();
        for (String callId : List.copyOf(awaitingServer.keySet())) {
            replicationLog.record(callId).ifPresentOrElse(record -> adoptEstablished(record, awaitingServer.get(callId)),
                    () -> awaitingServer.remove(callId));
        }
        if (!mayRelease || settings.orphanTimeout().compareTo(Duration.ZERO) <= 0) {
            return;
        }
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            if (attempt.orphanedAt.isBefore(now)) {
                releaseOrphan(attempt.record);
            }
        }
    }

    /** No member has claimed this call: if it is established at its server, no client is left for it. */
    private void releaseOrphan(CallRecord record) {
        openAttempts.remove(record.callId());
        completed(record.callId());
        boolean isOwnedElsewhere = replicaStore.ownerOf(record.callId()).filter(registry.registry()::isLive).isPresent();
        if (!isOwnedElsewhere) {
            LOG.log(Level.INFO, "open attempt of call {0} was orphaned by its controller; the call is released",
                    record.callId());
            controller.deliverServerRelease(record.callId(), record.server(), record.releaseToken());
            controller.deliverRelease(record.callId(), new AdoptedClient(record.clientKey()), Outcome.RESET);
        }
    }

    /** Adopts an established call if the endpoint list has its server. */
    private void adoptEstablished(CallRecord record, Instant deadline) {
        String callId = record.callId();
        replicationLog.put(record);
        if (controller.adopt(callId, record.server(), new AdoptedClient(record.clientKey()), record.releaseToken())) {
            awaitingServer.remove(callId);
            replicaStore.takeEvents(callId).forEach(controller::handleOwned);
        } else if (controller.isRemoved(record.server()) || !scheduler.now().isBefore(deadline)) {
            awaitingServer.remove(callId);
            completed(callId);
            controller.deliverRelease(callId, new AdoptedClient(record.clientKey()), Outcome.RESET);
        } else {
            awaitingServer.put(callId, deadline);
        }
    }

    /**
     * The shards of calls that are not completed: their former owner's records are looked up in this lease's own records.
     */
    Set<Integer> incompleteShards() {
        Set<Integer> shards = new HashSet<>();
        incompleteCalls.keySet().forEach(callId -> shards.add(ShardPlacement.shardOf(callId)));
        return shards;
    }

    /** The calls that others adopt once this member's lease has ended. */
    Set<String> calls() {
        Set<String> calls = new HashSet<>(incompleteCalls.keySet());
        calls.addAll(openAttempts.keySet());
        calls.addAll(awaitingServer.keySet());
        return calls;
    }

    /** The lease has ended: others adopt the calls. */
    void clear() {
        incompleteCalls.clear();
        callsByShard.clear();
        lastChangeByShard.clear();
        openAttempts.clear();
        awaitingServer.clear();
    }
}
