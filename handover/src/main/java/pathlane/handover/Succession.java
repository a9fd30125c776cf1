package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import pathlane.core.Scheduler;
import pathlane.group.Command;
import pathlane.group.LeaseHolder;
import pathlane.group.Member;
import pathlane.group.Register;
import pathlane.group.Registrar;

/**
 * What a successor does with the work of a member that has gone: claims the slots that fall to it, looks up which keeper
 * has the freshest records, goes on with the calls at a bounded pace, and settles each slot once its calls stand in its
 * own records at its own keepers. On the loop's thread.
 *
 * <p>The first live keeper of a slot claims at once, the next one a step later, and so on: a claimer that is slow is
 * passed over, and the register lets only one have it.
 */
final class Succession {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration CLAIM_AGAIN = Duration.ofMillis(300);
    /** How long the other keepers' word is waited for. */
    private static final Duration PULL_MOST = Duration.ofMillis(500);
    private static final Duration ASK_AGAIN = Duration.ofMillis(300);
    private static final Duration SAY_LATE = Duration.ofSeconds(10);
    private static final Duration LOOK = Duration.ofMillis(100);
    private static final Duration ADOPT_EVERY = Duration.ofMillis(10);

    /** What is done with what is taken over. */
    interface Work {
        /** Goes on with a call. Whoever {@code from} was, its records of the slot are dropped once this is settled. */
        void goOn(CallRecord record, long from, int slot);

        /** A call that was gone on with was over by its former owner's freshest records. */
        void isOver(String call, long from, int slot);

        /** Whether all of a slot's calls stand in this member's own records, at all its keepers that are up. */
        boolean isKept(long from, int slot);

        /** A slot is settled: what was noted for its sake can go. */
        void settled(long from, int slot);

        void send(long member, PeerMessage message);
    }

    private record Place(long owner, int slot) { }

    /** A slot that this member has claimed. */
    private static final class Task {
        final Place place;
        final List<Long> past;
        final Instant since;
        /** Copies that are still waited for. */
        final Set<Ask> awaited = new HashSet<>();
        final Map<Long, ReplicaStore.Copy> freshest = new HashMap<>();
        /** Calls that one that had gone on with the slot had noted. */
        final Set<String> elsewhere = new HashSet<>();
        Instant askedAt;
        boolean gathered;
        boolean reportedLate;
        boolean adopted;
        Instant settleAskedAt = Instant.MIN;

        Task(Place place, List<Long> past, Instant since) {
            this.place = place;
            this.past = past;
            this.since = since;
            this.askedAt = since;
        }
    }

    /** A copy of one's records of a slot that a member may have. */
    private record Ask(long owner, long heir) { }

    private final Registrar registrar;
    private final LeaseHolder leaseHolder;
    private final Scheduler scheduler;
    private final ReplicaStore replicaStore;
    private final Work work;
    private final int callsEach;
    private final Map<Place, Task> tasks = new TreeMap<>(java.util.Comparator.comparingLong(Place::owner)
            .thenComparingInt(Place::slot));
    private final Map<Place, Instant> openSince = new HashMap<>();
    private final Map<Place, Instant> claimedAt = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    /** Owners any of whose slots this lease ever asked for: a claim may be on its way still. */
    private final Set<Long> everClaimed = new HashSet<>();
    /** Calls gone on with, by whose they were, that the log does not have yet. */
    private final Map<Long, Integer> unsaid = new HashMap<>();
    private boolean adopting;
    private boolean looking;
    private long adopted;

    /** {@code pace} is how many calls a second are gone on with. */
    Succession(Registrar registrar, LeaseHolder leaseHolder, Scheduler scheduler, ReplicaStore replicaStore, int pace,
            Work work) {
        this.registrar = registrar;
        this.leaseHolder = leaseHolder;
        this.scheduler = scheduler;
        this.replicaStore = replicaStore;
        this.work = work;
        this.callsEach = Math.max(1, (int) (pace * ADOPT_EVERY.toMillis() / 1000));
    }

    /** Calls that were gone on with since the start. */
    long adopted() {
        return adopted;
    }

    /** Whether a call of this owner's slot is still to be gone on with here. */
    boolean isPending(long owner, int slot) {
        Task task = tasks.get(new Place(owner, slot));
        return task != null && !task.adopted;
    }

    /** Whether anything of this owner's was ever claimed from here by this lease. */
    boolean hasClaimed(long owner) {
        return everClaimed.contains(owner);
    }

    /** This member's lease has ended: others go on with what it had claimed. */
    void stop() {
        tasks.clear();
        queue.clear();
        openSince.clear();
        claimedAt.clear();
        everClaimed.clear();
        unsaid.clear();
    }

    /** The register has changed, or time has passed. */
    void look() {
        Register register = registrar.seen();
        long self = leaseHolder.token();
        Set<Place> open = new HashSet<>();
        if (leaseHolder.isValid()) {
            for (Register.Estate estate : List.copyOf(register.estates())) {
                if (!replicaStore.isFreed(estate.former().token())) {
                    look(register, estate, self, open);
                }
            }
        }
        openSince.keySet().retainAll(open);
        claimedAt.keySet().retainAll(open);
        for (Iterator<Task> each = tasks.values().iterator(); each.hasNext(); ) {
            Task task = each.next();
            Optional<Register.Estate> estate = register.estate(task.place.owner());
            Long holder = estate.isEmpty() ? null : estate.get().holders().get(task.place.slot());
            if (holder == null || holder != self) {
                each.remove();   // settled, or lost to another
                work.settled(task.place.owner(), task.place.slot());
            } else {
                look(register, task);
            }
        }
        if ((!open.isEmpty() || !tasks.isEmpty() || !register.estates().isEmpty()) && !looking) {
            looking = true;
            scheduler.after(LOOK, () -> {
                looking = false;
                look();
            });
        }
    }

    private void look(Register register, Register.Estate estate, long self, Set<Place> open) {
        long owner = estate.former().token();
        Instant now = scheduler.now();
        List<Integer> due = new ArrayList<>();
        estate.holders().forEach((slot, holder) -> {
            Place place = new Place(owner, slot);
            if (holder == self) {
                tasks.computeIfAbsent(place, any -> begin(register, estate, place));
            } else if (holder == 0 || !register.isLive(holder)) {
                open.add(place);
                Instant since = openSince.computeIfAbsent(place, any -> now);
                int turn = turn(register.heirs(estate, slot), self);
                Instant asked = claimedAt.get(place);
                if (turn >= 0 && !now.isBefore(since.plus(STEP.multipliedBy(turn)))
                        && (asked == null || now.isAfter(asked.plus(CLAIM_AGAIN)))) {
                    due.add(slot);
                    claimedAt.put(place, now);
                }
            }
        });
        if (!due.isEmpty()) {
            LOG.log(Level.INFO, "{0} slots of {1}, lease {2}, are claimed", Integer.toString(due.size()),
                    estate.former().name(), Long.toString(owner));
            everClaimed.add(owner);
            registrar.ask(new Command.Claim(self, owner, due), answered -> look());
        }
    }

    private static int turn(List<Member> heirs, long self) {
        for (int i = 0; i < heirs.size(); i++) {
            if (heirs.get(i).token() == self) {
                return i;
            }
        }
        return -1;
    }

    // ---- the freshest records

    private Task begin(Register register, Register.Estate estate, Place place) {
        Task task = new Task(place, estate.past(place.slot()), scheduler.now());
        await(register, task, estate);
        for (long former : task.past) {
            register.estate(former).ifPresent(past -> await(register, task, past));
        }
        ask(task);
        return task;
    }

    private void await(Register register, Task task, Register.Estate estate) {
        long owner = estate.former().token();
        int slot = task.place.slot();
        replicaStore.copy(owner, slot).ifPresent(copy -> take(task, owner, copy));
        for (Member heir : register.heirs(estate, slot)) {
            if (heir.token() != leaseHolder.token()) {
                task.awaited.add(new Ask(owner, heir.token()));
            }
        }
    }

    private void ask(Task task) {
        task.askedAt = scheduler.now();
        task.awaited.forEach(ask -> work.send(ask.heir, new PeerMessage.Pull(ask.owner, task.place.slot())));
    }

    private void look(Register register, Task task) {
        Instant now = scheduler.now();
        task.awaited.removeIf(ask -> !register.isLive(ask.heir));   // its copy went with it
        if (!task.awaited.isEmpty() && !now.isBefore(task.askedAt.plus(ASK_AGAIN))) {
            ask(task);
        }
        gatherIfReady(task);
        if (task.adopted && task.awaited.isEmpty()) {
            settle(task);
        } else if (!task.awaited.isEmpty() && !task.reportedLate && now.isAfter(task.since.plus(SAY_LATE))) {
            task.reportedLate = true;
            LOG.log(Level.WARNING, "slot {0} of lease {1} waits for the word of {2}", Integer.toString(task.place.slot()),
                    Long.toString(task.place.owner()), task.awaited);
        }
    }

    /**
     * Begins once all have been heard, or after a while with what is there. What one that had gone on with the slot had
     * noted has to be heard of from all who may know: its calls are gone on with by its own records.
     */
    private void gatherIfReady(Task task) {
        boolean allOfPast = task.awaited.stream().noneMatch(ask -> ask.owner != task.place.owner());
        if (!task.gathered && allOfPast
                && (task.awaited.isEmpty() || !scheduler.now().isBefore(task.since.plus(PULL_MOST)))) {
            gathered(task);
        }
    }

    private static void take(Task task, long owner, ReplicaStore.Copy copy) {
        ReplicaStore.Copy before = task.freshest.get(owner);
        if (before == null || before.upTo() < copy.upTo()) {
            task.freshest.put(owner, copy);
        }
    }

    /** A keeper's word of what it has. */
    void pulled(long keeper, PeerMessage.Pulled pulled) {
        for (Task task : List.copyOf(tasks.values())) {
            if (task.place.slot() == pulled.slot() && task.awaited.remove(new Ask(pulled.owner(), keeper))) {
                ReplicaStore.Copy before = task.freshest.get(pulled.owner());
                if (pulled.upTo() >= 0) {
                    take(task, pulled.owner(), new ReplicaStore.Copy(pulled.upTo(), pulled.records()));
                }
                ReplicaStore.Copy after = task.freshest.get(pulled.owner());
                if (task.gathered && after != before) {
                    mend(task, before, after);
                }
                gatherIfReady(task);
            }
        }
    }

    /** A fresher copy came after the slot was gone on with: what it knows otherwise is put right. */
    private void mend(Task task, ReplicaStore.Copy before, ReplicaStore.Copy after) {
        Map<String, CallRecord.Kind> had = new HashMap<>();
        if (before != null) {
            before.records().forEach(record -> had.put(record.call(), record.kind()));
        }
        for (CallRecord record : after.records()) {
            if (record.kind() != CallRecord.Kind.OVER && had.remove(record.call()) != record.kind()
                    && !task.elsewhere.contains(record.call())) {
                queue.add(() -> goOn(task, record));
            }
        }
        had.keySet().forEach(call -> queue.add(() -> work.isOver(call, task.place.owner(), task.place.slot())));
        adoptSoon();
    }

    private void gathered(Task task) {
        task.gathered = true;
        for (long former : task.past) {
            // What one that had gone on with them noted itself goes by its own records, to whoever claims those.
            ReplicaStore.Copy copy = task.freshest.get(former);
            if (copy != null) {
                copy.records().forEach(record -> task.elsewhere.add(record.call()));
            }
        }
        ReplicaStore.Copy copy = task.freshest.get(task.place.owner());
        if (copy != null) {
            for (CallRecord record : copy.records()) {
                if (record.kind() != CallRecord.Kind.OVER && !task.elsewhere.contains(record.call())) {
                    queue.add(() -> goOn(task, record));
                }
            }
        }
        queue.add(() -> {
            task.adopted = true;
            sayIfDone(task.place.owner());
            look();
        });
        adoptSoon();
    }

    private void goOn(Task task, CallRecord record) {
        if (tasks.get(task.place) == task) {
            adopted++;
            unsaid.merge(task.place.owner(), 1, Integer::sum);
            work.goOn(record, task.place.owner(), task.place.slot());
        }
    }

    private void sayIfDone(long owner) {
        if (tasks.values().stream().allMatch(task -> task.adopted || task.place.owner() != owner)) {
            Integer calls = unsaid.remove(owner);
            LOG.log(Level.INFO, "{0} calls of lease {1} are taken over", Integer.toString(calls == null ? 0 : calls),
                    Long.toString(owner));
        }
    }

    private void adoptSoon() {
        if (!adopting && !queue.isEmpty()) {
            adopting = true;
            scheduler.after(Duration.ZERO, this::adoptSome);
        }
    }

    private void adoptSome() {
        if (!leaseHolder.isValid()) {
            scheduler.after(LOOK, this::adoptSome);   // it goes on if the lease is valid again, and is cleared if it is lost
            return;
        }
        for (int i = 0; i < callsEach && !queue.isEmpty(); i++) {
            queue.poll().run();
        }
        adopting = !queue.isEmpty();
        if (adopting) {
            scheduler.after(ADOPT_EVERY, this::adoptSome);
        }
    }

    private void settle(Task task) {
        Instant now = scheduler.now();
        if (now.isBefore(task.settleAskedAt) || !work.isKept(task.place.owner(), task.place.slot())
                || !leaseHolder.isValid()) {
            return;
        }
        task.settleAskedAt = now.plus(CLAIM_AGAIN);
        List<Integer> slots = new ArrayList<>();
        for (Task other : tasks.values()) {
            if (other.place.owner() == task.place.owner() && other.adopted
                    && work.isKept(other.place.owner(), other.place.slot())) {
                other.settleAskedAt = task.settleAskedAt;
                slots.add(other.place.slot());
            }
        }
        registrar.ask(new Command.Settle(leaseHolder.token(), task.place.owner(), slots), answered -> look());
    }
}
