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
 * The calls of ended leases that this member goes on with, from the claim of their shard until the register has settled it
 * and their former records are gone. On the loop's thread.
 */
final class AdoptedCalls implements ShardAdoption.Listener {

    private static final Logger LOG = System.getLogger("group");
    /** The bus may name a server up to 9.5 s late: an adopted call's is waited for so long. */
    private static final Duration NAMED_BY = Duration.ofSeconds(10);

    private record Place(long owner, int shard) {}

    /** An attempt that was out when its owner went. */
    private record OpenAttempt(CallRecord record, Instant orphanAt) {}

    private final HandoverSettings terms;
    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final PeerConnections links;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final Consumer<CallEvent> handler;
    private final Map<String, OpenAttempt> openAttempts = new HashMap<>();
    /** Calls whose shard is not settled: their former records are still there. */
    private final Map<String, Place> unsettled = new HashMap<>();
    private final Map<Place, List<String>> callsOf = new HashMap<>();
    /** The last change of the own records that concerned a shard. */
    private final Map<Place, Long> changedAt = new HashMap<>();
    /** Calls whose server the list does not name yet, and until when it is waited for. */
    private final Map<String, Instant> unplaced = new LinkedHashMap<>();
    private CallController controller;

    /** {@code handler} handles an event that was stored for a call whose attempt was out. */
    AdoptedCalls(HandoverSettings terms, Scheduler scheduler, RegistryAccess registry, PeerConnections links,
            ReplicationLog replicationLog,
            ReplicaStore replicaStore, Consumer<CallEvent> handler) {
        this.terms = terms;
        this.scheduler = scheduler;
        this.registry = registry;
        this.links = links;
        this.replicationLog = replicationLog;
        this.replicaStore = replicaStore;
        this.handler = handler;
    }

    /** Begins; called before any call is adopted. */
    void start(CallController of) {
        controller = of;
    }

    @Override
    public void adopt(CallRecord record, long from, int shard) {
        Place place = new Place(from, shard);
        unsettled.put(record.callId(), place);
        callsOf.computeIfAbsent(place, any -> new ArrayList<>()).add(record.callId());
        switch (record.kind()) {
            case ESTABLISHED -> place(record, scheduler.now().plus(NAMED_BY));
            case IN_FLIGHT, RETRY_DELAYED -> goOnWithAttempt(record);
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
        changedAt.put(place, replicationLog.changes());
    }

    private void goOnWithAttempt(CallRecord record) {
        Instant orphanAt = scheduler.now().plus(record.remaining()).plus(terms.orphanTimeout());
        openAttempts.put(record.callId(), new OpenAttempt(record, orphanAt));
        replicationLog.put(record);
        replicaStore.takeEvents(record.callId()).forEach(handler);
    }

    @Override
    public void complete(String call, long from, int shard) {
        Place place = new Place(from, shard);
        if (place.equals(unsettled.get(call))) {
            openAttempts.remove(call);
            unplaced.remove(call);
            controller.disown(call);
            completed(call);
            changedAt.put(place, replicationLog.changes());
        }
    }

    @Override
    public boolean isReplicated(long from, int shard) {
        return replicationLog.isReplicatedUpTo(changedAt.getOrDefault(new Place(from, shard), 0L), shard);
    }

    @Override
    public void shardCompleted(long from, int shard) {
        Place place = new Place(from, shard);
        changedAt.remove(place);
        List<String> calls = callsOf.remove(place);
        for (String call : calls == null ? List.<String>of() : calls) {
            if (unsettled.remove(call, place)) {
                replicationLog.record(call).filter(record -> record.kind() == CallRecord.Kind.COMPLETED)
                        .ifPresent(record -> replicationLog.drop(call));
            }
        }
    }

    @Override
    public void send(long member, PeerMessage message) {
        links.send(member, message);
    }

    /** Nothing is left to do for a call, adopted or not. */
    void completed(String call) {
        replicationLog.drop(call);
        if (unsettled.containsKey(call)) {
            // Guards against a successor that would go on with it by its former owner's records.
            replicationLog.put(CallRecord.completed(call));
        }
    }

    /** Whether the call's shard is not settled yet. */
    boolean isIncomplete(String call) {
        return unsettled.containsKey(call);
    }

    /** Whether an attempt of the call was out when its owner went, and nothing has come of it yet. */
    boolean hasOpenAttempt(String call) {
        return openAttempts.containsKey(call);
    }

    /** Whether the call stands at a server that the list does not name yet. */
    boolean awaitsServer(String call) {
        return unplaced.containsKey(call);
    }

    /** The call stands at a server of this controller's. */
    void established(String call) {
        openAttempts.remove(call);
    }

    /** Resolves an open attempt by an event; false where the event is still to reach its caller. */
    boolean resolveAttempt(CallEvent event) {
        OpenAttempt attempt = openAttempts.remove(event.callId());
        if (event instanceof CallEvent.Ended) {
            replicationLog.drop(event.callId());
            return false;   // towards whichever connection from callers there is
        }
        completed(event.callId());
        controller.deliverServerRelease(event.callId(), attempt.record().server(), attempt.record().releaseToken());
        return true;
    }

    /** Looks again for servers that were not listed, and ends attempts that nobody has claimed where {@code mayEnd}. */
    void tick(boolean mayEnd) {
        Instant now = scheduler.now();
        for (String call : List.copyOf(unplaced.keySet())) {
            replicationLog.record(call).ifPresentOrElse(record -> place(record, unplaced.get(call)),
                    () -> unplaced.remove(call));
        }
        if (!mayEnd || terms.orphanTimeout().compareTo(Duration.ZERO) <= 0) {
            return;
        }
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            if (attempt.orphanAt.isBefore(now)) {
                endOrphan(attempt.record);
            }
        }
    }

    /** Nobody has claimed to have this call: if it stands at its server, it stands for nobody. */
    private void endOrphan(CallRecord record) {
        openAttempts.remove(record.callId());
        completed(record.callId());
        boolean elsewhere = replicaStore.ownerOf(record.callId()).filter(registry.registry()::isLive).isPresent();
        if (!elsewhere) {
            LOG.log(Level.INFO, "call {0} was left open by its controller; it is ended", record.callId());
            controller.deliverServerRelease(record.callId(), record.server(), record.releaseToken());
            controller.deliverRelease(record.callId(), new AdoptedClient(record.clientKey()), Outcome.RESET);
        }
    }

    /** Goes on with a call that stands, if the list names its server. */
    private void place(CallRecord record, Instant until) {
        String call = record.callId();
        replicationLog.put(record);
        if (controller.adopt(call, record.server(), new AdoptedClient(record.clientKey()), record.releaseToken())) {
            unplaced.remove(call);
            replicaStore.takeEvents(call).forEach(controller::handleOwned);
        } else if (controller.isRemoved(record.server()) || !scheduler.now().isBefore(until)) {
            unplaced.remove(call);
            completed(call);
            controller.deliverRelease(call, new AdoptedClient(record.clientKey()), Outcome.RESET);
        } else {
            unplaced.put(call, until);
        }
    }

    /** The shards of calls that are not settled: their owner's records are looked up in this lease's own. */
    Set<Integer> incompleteShards() {
        Set<Integer> shards = new HashSet<>();
        unsettled.keySet().forEach(call -> shards.add(ShardPlacement.shardOf(call)));
        return shards;
    }

    /** The calls that others go on with once this member's lease has ended. */
    Set<String> calls() {
        Set<String> calls = new HashSet<>(unsettled.keySet());
        calls.addAll(openAttempts.keySet());
        calls.addAll(unplaced.keySet());
        return calls;
    }

    /** The lease has ended: others go on with the calls. */
    void clear() {
        unsettled.clear();
        callsOf.clear();
        changedAt.clear();
        openAttempts.clear();
        unplaced.clear();
    }
}
