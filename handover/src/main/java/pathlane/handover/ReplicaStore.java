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
import pathlane.group.Member;
import pathlane.group.Placement;
import pathlane.group.Register;

/**
 * The replicas that a member holds of other owners' records, by owner and slot, as far as each owner's changes have arrived.
 * A slot is as its owner had it at one moment, never half of one state and half of another. On the loop's thread.
 */
final class ReplicaStore {

    /** A slot as it was kept: how far it goes, in the owner's count of its changes. */
    record Copy(long upTo, List<CallRecord> records) {}

    private static final class KeptSlot {
        long stream;
        long upTo;
        Map<String, CallRecord> records = new LinkedHashMap<>();
    }

    private static final class Kept {
        final Map<Integer, KeptSlot> slots = new HashMap<>();
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
        boolean sent = record.kind() == CallRecord.Kind.SENT;
        if (sent || record.kind() == CallRecord.Kind.WAITS) {
            heldBack.put(record.call(), scheduler.now().plus(record.lasts()).plus(sent ? clearWait : Duration.ZERO));
        } else {
            heldBack.remove(record.call());
        }
    }

    /** How long nothing may be sent for a call. */
    Duration heldBack(String call) {
        Instant until = heldBack.get(call);
        Duration left = until == null ? Duration.ZERO : Duration.between(scheduler.now(), until);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** A slot whole; {@code stream} numbers the connection it came on. */
    void slot(PeerMessage.Slot slot, long stream) {
        freed.remove(slot.owner());
        Kept kept = owners.computeIfAbsent(slot.owner(), owner -> new Kept());
        if (!isCurrent(kept, stream)) {
            return;
        }
        kept.newest = Math.max(kept.newest, slot.view());
        KeptSlot fresh = new KeptSlot();
        fresh.stream = stream;
        fresh.upTo = slot.upTo();
        for (CallRecord record : slot.records()) {
            fresh.records.put(record.call(), record);
            ownerOf.put(record.call(), slot.owner());
            note(record);
        }
        KeptSlot before = kept.slots.put(slot.slot(), fresh);
        if (before != null) {
            before.records.keySet().forEach(call -> forgetUnless(call, slot.owner(), fresh));
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
    void changes(PeerMessage.Changes changes, long stream) {
        Kept kept = owners.get(changes.owner());
        if (kept == null || kept.stream != stream) {
            return;
        }
        for (PeerMessage.Change change : changes.changes()) {
            KeptSlot slot = kept.slots.get(Placement.slot(change.call()));
            if (slot == null || slot.stream != stream) {
                continue;
            }
            if (change.record() == null) {
                slot.records.remove(change.call());
                ownerOf.remove(change.call(), changes.owner());
                events.remove(change.call());
            } else {
                slot.records.put(change.call(), change.record());
                ownerOf.put(change.call(), changes.owner());
                note(change.record());
            }
        }
        if (changes.upTo() >= 0) {
            kept.upTo = changes.upTo();
        }
    }

    /** The owner has sent all slots of a view; returns what to answer. */
    PeerMessage.Kept placed(PeerMessage.Placed placed, long stream) {
        Kept kept = owners.computeIfAbsent(placed.owner(), owner -> new Kept());
        if (isCurrent(kept, stream)) {
            kept.view = placed.view();
            kept.upTo = placed.upTo();
            kept.newest = Math.max(kept.newest, placed.view());
        }
        return upTo(placed.owner());
    }

    /** How much is kept of an owner's. */
    PeerMessage.Kept upTo(long owner) {
        Kept kept = owners.get(owner);
        return new PeerMessage.Kept(owner, kept == null ? -1 : kept.upTo, kept == null ? 0 : kept.view);
    }

    /** What is kept of a slot, or nothing. */
    Optional<Copy> copy(long owner, int slot) {
        Kept kept = owners.get(owner);
        KeptSlot one = kept == null ? null : kept.slots.get(slot);
        if (one == null || freed.contains(owner)) {
            return Optional.empty();
        }
        long upTo = one.stream == kept.stream ? Math.max(one.upTo, kept.upTo) : one.upTo;
        return Optional.of(new Copy(upTo, new ArrayList<>(one.records.values())));
    }

    /** Calls to which something happened that nobody has acted on. */
    List<String> happenedTo() {
        return List.copyOf(events.keySet());
    }

    /** Whose call this is by the records that are kept here. */
    Optional<Long> ownerOf(String call) {
        return Optional.ofNullable(ownerOf.get(call)).filter(owner -> !freed.contains(owner));
    }

    /** What is left to do for a call by the records that are kept here. */
    Optional<CallRecord.Kind> kindOf(String call) {
        return ownerOf(call).map(owners::get).map(kept -> kept.slots.get(Placement.slot(call)))
                .map(slot -> slot.records.get(call)).map(CallRecord::kind);
    }

    /** Keeps what happened for whoever goes on with the call; false where it is kept already. */
    boolean happened(CallEvent event) {
        List<CallEvent> all = events.computeIfAbsent(event.callId(), call -> new ArrayList<>());
        if (all.stream().anyMatch(one -> one.getClass() == event.getClass())) {
            return false;
        }
        return all.add(event);
    }

    /** What happened to a call and is kept. */
    List<CallEvent> happened(String call) {
        return List.copyOf(events.getOrDefault(call, List.of()));
    }

    /** Whoever acts on the call knows of it. */
    void done(CallEvent event) {
        events.computeIfPresent(event.callId(), (call, all) -> {
            all.removeIf(one -> one.getClass() == event.getClass());
            return all.isEmpty() ? null : all;
        });
    }

    /** What happened to a call; it is handed out once. */
    List<CallEvent> take(String call) {
        List<CallEvent> happened = events.remove(call);
        return happened == null ? List.of() : happened;
    }

    /** Drops an owner's records and will not act by them, until it sends some anew; returns what is the owner's to know. */
    List<CallEvent> free(long owner) {
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

    boolean isFreed(long owner) {
        return freed.contains(owner);
    }

    private void drop(long owner) {
        Kept kept = owners.remove(owner);
        if (kept != null) {
            kept.slots.values().forEach(slot -> drop(owner, slot, new ArrayList<>()));
        }
    }

    private void drop(long owner, KeptSlot slot, List<CallEvent> left) {
        slot.records.keySet().forEach(call -> {
            if (ownerOf.remove(call, owner)) {
                left.addAll(take(call));
            }
        });
    }

    /**
     * Lets go of what the register no longer places here, and of owners whose work is settled; returns what had happened to
     * their calls and was not taken by whoever acts.
     */
    List<CallEvent> prune(Register register, long self) {
        List<CallEvent> left = new ArrayList<>();
        Instant now = scheduler.now();
        heldBack.values().removeIf(until -> until.isBefore(now));
        freed.removeIf(owner -> owner <= register.lastToken() && !register.isLive(owner)
                && register.estate(owner).isEmpty());
        for (Iterator<Map.Entry<Long, Kept>> each = owners.entrySet().iterator(); each.hasNext();) {
            Map.Entry<Long, Kept> one = each.next();
            long owner = one.getKey();
            if (owner > register.lastToken() || one.getValue().newest > register.view()) {
                continue;   // its owner has seen more of the register
            }
            Optional<Register.Estate> estate = register.estate(owner);
            if (!register.isLive(owner) && estate.isEmpty()) {
                one.getValue().slots.values().forEach(slot -> drop(owner, slot, left));
                each.remove();
            } else {
                one.getValue().slots.entrySet().removeIf(slot -> {
                    boolean stays = estate.isPresent() ? estate.get().holders().containsKey(slot.getKey())
                            : keeps(register, owner, slot.getKey(), self);
                    if (!stays) {
                        drop(owner, slot.getValue(), left);
                    }
                    return !stays;
                });
            }
        }
        return left;
    }

    private static boolean keeps(Register register, long owner, int slot, long self) {
        return isAmong(register.keepers(owner, slot, register.replicatedView(owner)), self)
                || isAmong(register.keepers(owner, slot, register.view()), self);
    }

    private static boolean isAmong(List<Member> members, long token) {
        return members.stream().anyMatch(member -> member.token() == token);
    }

    /** Records that are kept for others. */
    int size() {
        return ownerOf.size();
    }
}
