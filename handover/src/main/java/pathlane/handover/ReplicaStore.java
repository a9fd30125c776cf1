package pathlane.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.core.CallEvent;
import pathlane.core.Scheduler;
import pathlane.group.LeaseRegistry;
import pathlane.group.Member;
import pathlane.group.OrphanedShards;
import pathlane.group.ShardPlacement;

/**
 * The replicas that a member holds of other owners' records, by owner and shard, up to the last change received from each
 * owner. A replica always shows its shard as it was at its owner at one moment, never a mixture of two states. Confined to
 * the event loop thread.
 */
final class ReplicaStore {

    /** The replica of a shard, with the owner's changes up to {@code upTo}. */
    record ShardCopy(long upTo, List<CallRecord> records) {}

    private static final class ShardReplica {
        long stream;
        long upTo;
        Map<String, CallRecord> records = new LinkedHashMap<>();
    }

    private static final class OwnerReplicas {
        final Map<Integer, ShardReplica> shards = new HashMap<>();
        /** The owner's latest connection, and the last of its changes that was received there. */
        long stream;
        long upTo = -1;
        long view;
        /** The newest view by which the owner placed any records here. */
        long newestView;
    }

    private final Scheduler scheduler;
    /** Added to an attempt's own timeout: no request is sent for its call for so long after the attempt was lost. */
    private final Duration lostAttemptDelay;
    private final Map<Long, OwnerReplicas> owners = new HashMap<>();
    /**
     * Until when no request may be sent for a call. Counted from the arrival here, so it is later than the owner's own time.
     */
    private final Map<String, Instant> retryNotBefore = new LinkedHashMap<>();
    private final Map<String, Long> ownerByCall = new HashMap<>();
    /** Events of calls that arrived while no member acted on the call. */
    private final Map<String, List<CallEvent>> eventsByCall = new HashMap<>();
    /** Owners that were assured that this member never acts on their replicas. */
    private final Set<Long> droppedOwners = new HashSet<>();

    ReplicaStore(Scheduler scheduler, Duration lostAttemptDelay) {
        this.scheduler = scheduler;
        this.lostAttemptDelay = lostAttemptDelay;
    }

    private void updateRetryDelay(CallRecord record) {
        boolean isInFlight = record.kind() == CallRecord.Kind.IN_FLIGHT;
        if (isInFlight || record.kind() == CallRecord.Kind.RETRY_DELAYED) {
            retryNotBefore.put(record.callId(),
                    scheduler.now().plus(record.remaining()).plus(isInFlight ? lostAttemptDelay : Duration.ZERO));
        } else {
            retryNotBefore.remove(record.callId());
        }
    }

    /** How long no request may be sent for a call. */
    Duration retryDelay(String callId) {
        Instant notBefore = retryNotBefore.get(callId);
        Duration remaining = notBefore == null ? Duration.ZERO : Duration.between(scheduler.now(), notBefore);
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    /** Stores a snapshot of a shard; {@code stream} numbers the connection on which it arrived. */
    void storeSnapshot(PeerMessage.ShardSnapshot snapshot, long stream) {
        droppedOwners.remove(snapshot.owner());
        OwnerReplicas replicas = owners.computeIfAbsent(snapshot.owner(), owner -> new OwnerReplicas());
        if (!isCurrent(replicas, stream)) {
            return;
        }
        replicas.newestView = Math.max(replicas.newestView, snapshot.view());
        ShardReplica replica = new ShardReplica();
        replica.stream = stream;
        replica.upTo = snapshot.upTo();
        for (CallRecord record : snapshot.records()) {
            replica.records.put(record.callId(), record);
            ownerByCall.put(record.callId(), snapshot.owner());
            updateRetryDelay(record);
        }
        ShardReplica previous = replicas.shards.put(snapshot.shard(), replica);
        if (previous != null) {
            previous.records.keySet().forEach(callId -> removeOwnerUnless(callId, snapshot.owner(), replica));
        }
    }

    private void removeOwnerUnless(String callId, long owner, ShardReplica replica) {
        if (!replica.records.containsKey(callId)) {
            ownerByCall.remove(callId, owner);
        }
    }

    /** Whether this is the owner's latest connection: messages on an earlier one are older than what is stored. */
    private static boolean isCurrent(OwnerReplicas replicas, long stream) {
        if (stream > replicas.stream) {
            replicas.stream = stream;
            replicas.upTo = -1;
        }
        return stream == replicas.stream;
    }

    /** Applies changes in the order in which they were made, and skips those of shards not received on this connection. */
    void applyChanges(PeerMessage.Changes changes, long stream) {
        OwnerReplicas replicas = owners.get(changes.owner());
        if (replicas == null || replicas.stream != stream) {
            return;
        }
        for (PeerMessage.Change change : changes.changes()) {
            ShardReplica shard = replicas.shards.get(ShardPlacement.shardOf(change.callId()));
            if (shard == null || shard.stream != stream) {
                continue;
            }
            if (change.record() == null) {
                shard.records.remove(change.callId());
                ownerByCall.remove(change.callId(), changes.owner());
                eventsByCall.remove(change.callId());
            } else {
                shard.records.put(change.callId(), change.record());
                ownerByCall.put(change.callId(), changes.owner());
                updateRetryDelay(change.record());
            }
        }
        if (changes.upTo() >= 0) {
            replicas.upTo = changes.upTo();
        }
    }

    /** The owner has sent all shards of a view; returns the acknowledgement to send. */
    PeerMessage.Acknowledged viewReplicated(PeerMessage.ViewReplicated message, long stream) {
        OwnerReplicas replicas = owners.computeIfAbsent(message.owner(), owner -> new OwnerReplicas());
        if (isCurrent(replicas, stream)) {
            replicas.view = message.view();
            replicas.upTo = message.upTo();
            replicas.newestView = Math.max(replicas.newestView, message.view());
        }
        return acknowledgement(message.owner());
    }

    /** How much of an owner's records is stored here. */
    PeerMessage.Acknowledged acknowledgement(long owner) {
        OwnerReplicas replicas = owners.get(owner);
        return new PeerMessage.Acknowledged(owner, replicas == null ? -1 : replicas.upTo,
                replicas == null ? 0 : replicas.view);
    }

    /** The replica of a shard; empty if there is none, or if the owner was assured that it is not used. */
    Optional<ReplicaStore.ShardCopy> copy(long owner, int shard) {
        OwnerReplicas replicas = owners.get(owner);
        ShardReplica replica = replicas == null ? null : replicas.shards.get(shard);
        if (replica == null || droppedOwners.contains(owner)) {
            return Optional.empty();
        }
        long upTo = replica.stream == replicas.stream ? Math.max(replica.upTo, replicas.upTo) : replica.upTo;
        return Optional.of(new ReplicaStore.ShardCopy(upTo, new ArrayList<>(replica.records.values())));
    }

    /** The calls that have stored events. */
    List<String> callsWithEvents() {
        return List.copyOf(eventsByCall.keySet());
    }

    /** The owner of a call by the replicas that are stored here. */
    Optional<Long> ownerOf(String callId) {
        return Optional.ofNullable(ownerByCall.get(callId)).filter(owner -> !droppedOwners.contains(owner));
    }

    /** What is left to do for a call by the replicas that are stored here. */
    Optional<CallRecord.Kind> kindOf(String callId) {
        return ownerOf(callId).map(owners::get).map(replicas -> replicas.shards.get(ShardPlacement.shardOf(callId)))
                .map(shard -> shard.records.get(callId)).map(CallRecord::kind);
    }

    /** Stores an event for the member that adopts the call; returns false if one of its kind is already stored. */
    boolean storeEvent(CallEvent event) {
        List<CallEvent> callEvents = eventsByCall.computeIfAbsent(event.callId(), callId -> new ArrayList<>());
        if (callEvents.stream().anyMatch(stored -> stored.getClass() == event.getClass())) {
            return false;
        }
        return callEvents.add(event);
    }

    /** Returns the stored events of a call; they stay stored. */
    List<CallEvent> storeEvent(String callId) {
        return List.copyOf(eventsByCall.getOrDefault(callId, List.of()));
    }

    /** Removes an event of which the acting member has been notified. */
    void removeEvent(CallEvent event) {
        eventsByCall.computeIfPresent(event.callId(), (callId, callEvents) -> {
            callEvents.removeIf(stored -> stored.getClass() == event.getClass());
            return callEvents.isEmpty() ? null : callEvents;
        });
    }

    /** Removes the stored events of a call and returns them. */
    List<CallEvent> takeEvents(String callId) {
        List<CallEvent> callEvents = eventsByCall.remove(callId);
        return callEvents == null ? List.of() : callEvents;
    }

    /**
     * Drops an owner's replicas and will not act on them until it sends new ones; returns the events to report to the owner.
     */
    List<CallEvent> dropReplicas(long owner) {
        List<CallEvent> ownerEvents = new ArrayList<>();
        eventsByCall.forEach((callId, callEvents) -> {
            if (ownerByCall.getOrDefault(callId, 0L) == owner) {
                ownerEvents.addAll(callEvents);
            }
        });
        droppedOwners.add(owner);
        drop(owner);
        return ownerEvents;
    }

    boolean isDropped(long owner) {
        return droppedOwners.contains(owner);
    }

    private void drop(long owner) {
        OwnerReplicas replicas = owners.remove(owner);
        if (replicas != null) {
            replicas.shards.values().forEach(shard -> drop(owner, shard, new ArrayList<>()));
        }
    }

    private void drop(long owner, ShardReplica shard, List<CallEvent> undelivered) {
        shard.records.keySet().forEach(callId -> {
            if (ownerByCall.remove(callId, owner)) {
                undelivered.addAll(takeEvents(callId));
            }
        });
    }

    /**
     * Drops replicas that the registry no longer places here, and those of owners all of whose shards are completed; returns
     * the stored events of their calls that no acting member has taken.
     */
    List<CallEvent> prune(LeaseRegistry registry, long ownToken) {
        List<CallEvent> undelivered = new ArrayList<>();
        Instant now = scheduler.now();
        retryNotBefore.values().removeIf(notBefore -> notBefore.isBefore(now));
        droppedOwners.removeIf(owner -> owner <= registry.lastToken() && !registry.isLive(owner)
                && registry.orphan(owner).isEmpty());
        for (Iterator<Map.Entry<Long, OwnerReplicas>> iterator = owners.entrySet().iterator(); iterator.hasNext();) {
            Map.Entry<Long, OwnerReplicas> entry = iterator.next();
            long owner = entry.getKey();
            if (owner > registry.lastToken() || entry.getValue().newestView > registry.view()) {
                continue;   // the owner has seen a later state of the registry
            }
            Optional<OrphanedShards> orphan = registry.orphan(owner);
            if (!registry.isLive(owner) && orphan.isEmpty()) {
                entry.getValue().shards.values().forEach(shard -> drop(owner, shard, undelivered));
                iterator.remove();
            } else {
                entry.getValue().shards.entrySet().removeIf(shard -> {
                    boolean isPlacedHere = orphan.isPresent() ? orphan.get().owners().containsKey(shard.getKey())
                            : isReplicaHolder(registry, owner, shard.getKey(), ownToken);
                    if (!isPlacedHere) {
                        drop(owner, shard.getValue(), undelivered);
                    }
                    return !isPlacedHere;
                });
            }
        }
        return undelivered;
    }

    private static boolean isReplicaHolder(LeaseRegistry registry, long owner, int shard, long ownToken) {
        return isAmong(registry.replicaHolders(owner, shard, registry.replicatedView(owner)), ownToken)
                || isAmong(registry.replicaHolders(owner, shard, registry.view()), ownToken);
    }

    private static boolean isAmong(List<Member> members, long token) {
        return members.stream().anyMatch(member -> member.token() == token);
    }

    /** The number of calls with a replica here. */
    int size() {
        return ownerByCall.size();
    }
}
