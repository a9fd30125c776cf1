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
 * The replicas that a member holds of other owners' records, by owner and shard, as far as each owner's changes have come.
 * A shard is as its owner had it at one moment, never half of one state and half of another. On the loop's thread.
 */
final class ReplicaStore {

    /** A shard as it was kept: how far it goes, in the owner's count of its changes. */
    record ShardCopy(long upTo, List<CallRecord> records) {}

    private static final class KeptSlot {
        long stream;
        long upTo;
        Map<String, CallRecord> records = new LinkedHashMap<>();
    }

    private static final class Kept {
        final Map<Integer, KeptSlot> shards = new HashMap<>();
        /** The connection on which it last sent, and how far what came there goes. */
        long stream;
        long upTo = -1;
        long view;
        /** The newest view by which the owner placed anything here. */
        long newest;
    }

    private final Scheduler scheduler;
    /** What is added to an attempt's own time: nothing is sent for its call for so long after it was lost. */
    private final Duration clearWait;
    private final Map<Long, Kept> owners = new HashMap<>();
    /** Until when nothing may be sent for a call, as counted from here: later than its owner counts. */
    private final Map<String, Instant> heldBack = new LinkedHashMap<>();
    private final Map<String, Long> ownerOf = new HashMap<>();
    /** What happened to calls while nobody acted on them. */
    private final Map<String, List<CallEvent>> events = new HashMap<>();
    /** Owners that were promised that nobody acts by their records from here. */
    private final Set<Long> freed = new HashSet<>();

    ReplicaStore(Scheduler scheduler, Duration clearWait) {
        this.scheduler = scheduler;
        this.clearWait = clearWait;
    }

    private void note(CallRecord record) {
        boolean sent = record.kind() == CallRecord.Kind.IN_FLIGHT;
        if (sent || record.kind() == CallRecord.Kind.RETRY_DELAYED) {
            heldBack.put(record.callId(), scheduler.now().plus(record.remaining()).plus(sent ? clearWait : Duration.ZERO));
        } else {
            heldBack.remove(record.callId());
        }
    }

    /** How long nothing may be sent for a call. */
    Duration retryDelay(String call) {
        Instant until = heldBack.get(call);
        Duration left = until == null ? Duration.ZERO : Duration.between(scheduler.now(), until);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** A shard whole; {@code stream} numbers the connection it came on. */
    void storeSnapshot(PeerMessage.ShardSnapshot shard, long stream) {
        freed.remove(shard.owner());
        Kept kept = owners.computeIfAbsent(shard.owner(), owner -> new Kept());
        if (!isCurrent(kept, stream)) {
            return;
        }
        kept.newest = Math.max(kept.newest, shard.view());
        KeptSlot fresh = new KeptSlot();
        fresh.stream = stream;
        fresh.upTo = shard.upTo();
        for (CallRecord record : shard.records()) {
            fresh.records.put(record.callId(), record);
            ownerOf.put(record.callId(), shard.owner());
            note(record);
        }
        KeptSlot before = kept.shards.put(shard.shard(), fresh);
        if (before != null) {
            before.records.keySet().forEach(call -> forgetUnless(call, shard.owner(), fresh));
        }
    }

    private void forgetUnless(String call, long owner, KeptSlot fresh) {
        if (!fresh.records.containsKey(call)) {
            ownerOf.remove(call, owner);
        }
    }

    /** Whether this is the owner's latest connection: what comes on an older one is older than what is kept. */
    private static boolean isCurrent(Kept kept, long stream) {
        if (stream > kept.stream) {
            kept.stream = stream;
            kept.upTo = -1;
        }
        return stream == kept.stream;
    }

    /** Changes, in the order in which they were made. What is not kept on this connection is passed over. */
    void applyChanges(PeerMessage.Changes changes, long stream) {
        Kept kept = owners.get(changes.owner());
        if (kept == null || kept.stream != stream) {
            return;
        }
        for (PeerMessage.Change change : changes.changes()) {
            KeptSlot shard = kept.shards.get(ShardPlacement.shardOf(change.callId()));
            if (shard == null || shard.stream != stream) {
                continue;
            }
            if (change.record() == null) {
                shard.records.remove(change.callId());
                ownerOf.remove(change.callId(), changes.owner());
                events.remove(change.callId());
            } else {
                shard.records.put(change.callId(), change.record());
                ownerOf.put(change.callId(), changes.owner());
                note(change.record());
            }
        }
        if (changes.upTo() >= 0) {
            kept.upTo = changes.upTo();
        }
    }

    /** The owner has sent all shards of a view; returns what to answer. */
    PeerMessage.Acknowledged viewReplicated(PeerMessage.ViewReplicated placed, long stream) {
        Kept kept = owners.computeIfAbsent(placed.owner(), owner -> new Kept());
        if (isCurrent(kept, stream)) {
            kept.view = placed.view();
            kept.upTo = placed.upTo();
            kept.newest = Math.max(kept.newest, placed.view());
        }
        return acknowledgement(placed.owner());
    }

    /** How much is kept of an owner's. */
    PeerMessage.Acknowledged acknowledgement(long owner) {
        Kept kept = owners.get(owner);
        return new PeerMessage.Acknowledged(owner, kept == null ? -1 : kept.upTo, kept == null ? 0 : kept.view);
    }

    /** What is kept of a shard, or nothing. */
    Optional<ReplicaStore.ShardCopy> copy(long owner, int shard) {
        Kept kept = owners.get(owner);
        KeptSlot one = kept == null ? null : kept.shards.get(shard);
        if (one == null || freed.contains(owner)) {
            return Optional.empty();
        }
        long upTo = one.stream == kept.stream ? Math.max(one.upTo, kept.upTo) : one.upTo;
        return Optional.of(new ReplicaStore.ShardCopy(upTo, new ArrayList<>(one.records.values())));
    }

    /** Calls to which something happened that nobody has acted on. */
    List<String> callsWithEvents() {
        return List.copyOf(events.keySet());
    }

    /** Whose call this is by the records that are kept here. */
    Optional<Long> ownerOf(String call) {
        return Optional.ofNullable(ownerOf.get(call)).filter(owner -> !freed.contains(owner));
    }

    /** What is left to do for a call by the records that are kept here. */
    Optional<CallRecord.Kind> kindOf(String call) {
        return ownerOf(call).map(owners::get).map(kept -> kept.shards.get(ShardPlacement.shardOf(call)))
                .map(shard -> shard.records.get(call)).map(CallRecord::kind);
    }

    /** Keeps what happened for whoever goes on with the call; false where it is kept already. */
    boolean storeEvent(CallEvent event) {
        List<CallEvent> all = events.computeIfAbsent(event.callId(), call -> new ArrayList<>());
        if (all.stream().anyMatch(one -> one.getClass() == event.getClass())) {
            return false;
        }
        return all.add(event);
    }

    /** What happened to a call and is kept. */
    List<CallEvent> storeEvent(String call) {
        return List.copyOf(events.getOrDefault(call, List.of()));
    }

    /** Whoever acts on the call knows of it. */
    void removeEvent(CallEvent event) {
        events.computeIfPresent(event.callId(), (call, all) -> {
            all.removeIf(one -> one.getClass() == event.getClass());
            return all.isEmpty() ? null : all;
        });
    }

    /** What happened to a call; it is handed out once. */
    List<CallEvent> takeEvents(String call) {
        List<CallEvent> happened = events.remove(call);
        return happened == null ? List.of() : happened;
    }

    /** Drops an owner's records and will not act by them, until it sends some anew; returns what is the owner's to know. */
    List<CallEvent> dropReplicas(long owner) {
        List<CallEvent> happened = new ArrayList<>();
        events.forEach((call, all) -> {
            if (ownerOf.getOrDefault(call, 0L) == owner) {
                happened.addAll(all);
            }
        });
        freed.add(owner);
        drop(owner);
        return happened;
    }

    boolean isDropped(long owner) {
        return freed.contains(owner);
    }

    private void drop(long owner) {
        Kept kept = owners.remove(owner);
        if (kept != null) {
            kept.shards.values().forEach(shard -> drop(owner, shard, new ArrayList<>()));
        }
    }

    private void drop(long owner, KeptSlot shard, List<CallEvent> left) {
        shard.records.keySet().forEach(call -> {
            if (ownerOf.remove(call, owner)) {
                left.addAll(takeEvents(call));
            }
        });
    }

    /**
     * Lets go of what the register no longer places here, and of owners whose work is settled; returns what had happened to
     * their calls and was not taken by whoever acts.
     */
    List<CallEvent> prune(LeaseRegistry register, long self) {
        List<CallEvent> left = new ArrayList<>();
        Instant now = scheduler.now();
        heldBack.values().removeIf(until -> until.isBefore(now));
        freed.removeIf(owner -> owner <= register.lastToken() && !register.isLive(owner)
                && register.orphan(owner).isEmpty());
        for (Iterator<Map.Entry<Long, Kept>> each = owners.entrySet().iterator(); each.hasNext();) {
            Map.Entry<Long, Kept> one = each.next();
            long owner = one.getKey();
            if (owner > register.lastToken() || one.getValue().newest > register.view()) {
                continue;   // its owner has seen more of the register
            }
            Optional<OrphanedShards> orphan = register.orphan(owner);
            if (!register.isLive(owner) && orphan.isEmpty()) {
                one.getValue().shards.values().forEach(shard -> drop(owner, shard, left));
                each.remove();
            } else {
                one.getValue().shards.entrySet().removeIf(shard -> {
                    boolean stays = orphan.isPresent() ? orphan.get().owners().containsKey(shard.getKey())
                            : keeps(register, owner, shard.getKey(), self);
                    if (!stays) {
                        drop(owner, shard.getValue(), left);
                    }
                    return !stays;
                });
            }
        }
        return left;
    }

    private static boolean keeps(LeaseRegistry register, long owner, int shard, long self) {
        return isAmong(register.replicaHolders(owner, shard, register.replicatedView(owner)), self)
                || isAmong(register.replicaHolders(owner, shard, register.view()), self);
    }

    private static boolean isAmong(List<Member> members, long token) {
        return members.stream().anyMatch(member -> member.token() == token);
    }

    /** Records that are kept for others. */
    int size() {
        return ownerOf.size();
    }
}
