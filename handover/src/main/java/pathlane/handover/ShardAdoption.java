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
import pathlane.group.LeaseRegistry;
import pathlane.group.Member;
import pathlane.group.OrphanedShards;
import pathlane.group.RegistryAccess;

/**
 * What a successor does with the work of a member that has gone: claims the shards that fall to it, looks up which holder
 * has the freshest records, goes on with the calls at a bounded pace, and settles each shard once its calls stand in its
 * own records at its own holders. On the loop's thread.
 *
 * <p>The first live holder of a shard claims at once, the next one a step later, and so on: a claimer that is slow is
 * passed over, and the register lets only one have it.
 */
final class ShardAdoption {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration CLAIM_AGAIN = Duration.ofMillis(300);
    /** How long the other holders' word is waited for. */
    private static final Duration PULL_MOST = Duration.ofMillis(500);
    private static final Duration ASK_AGAIN = Duration.ofMillis(300);
    private static final Duration SAY_LATE = Duration.ofSeconds(10);
    private static final Duration LOOK = Duration.ofMillis(100);
    private static final Duration ADOPT_EVERY = Duration.ofMillis(10);

    /** What is done with what is taken over. */
    interface Listener {
        /** Goes on with a call. Whoever {@code from} was, its records of the shard are dropped once this is settled. */
        void adopt(CallRecord record, long from, int shard);

        /** A call that was gone on with was over by its former owner's freshest records. */
        void complete(String call, long from, int shard);

        /** Whether all of a shard's calls stand in this member's own records, at all its holders that are up. */
        boolean isReplicated(long from, int shard);

        /** A shard is settled: what was noted for its sake can go. */
        void shardCompleted(long from, int shard);

        void send(long member, PeerMessage message);
    }

    private record Place(long owner, int shard) {}

    /** A shard that this member has claimed. */
    private static final class Task {
        final Place place;
        final List<Long> past;
        final Instant since;
        /** Copies that are still waited for. */
        final Set<Ask> awaited = new HashSet<>();
        final Map<Long, ReplicaStore.ShardCopy> freshest = new HashMap<>();
        /** Calls that one that had gone on with the shard had noted. */
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

    /** A copy of one's records of a shard that a member may have. */
    private record Ask(long owner, long successor) {}

    private final RegistryAccess registry;
    private final LeaseHolder leaseHolder;
    private final Scheduler scheduler;
    private final ReplicaStore replicaStore;
    private final ShardAdoption.Listener work;
    private final int callsEach;
    private final Map<Place, Task> tasks = new TreeMap<>(java.util.Comparator.comparingLong(Place::owner)
            .thenComparingInt(Place::shard));
    private final Map<Place, Instant> openSince = new HashMap<>();
    private final Map<Place, Instant> claimedAt = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    /** Owners any of whose shards this lease ever asked for: a claim may be on its way still. */
    private final Set<Long> everClaimed = new HashSet<>();
    /** Calls gone on with, by whose they were, that the log does not have yet. */
    private final Map<Long, Integer> unsaid = new HashMap<>();
    private boolean adopting;
    private boolean looking;
    private long adopted;

    /** {@code pace} is how many calls a second are gone on with. */
    ShardAdoption(RegistryAccess registry, LeaseHolder leaseHolder, Scheduler scheduler, ReplicaStore replicaStore,
            int pace,
            ShardAdoption.Listener work) {
        this.registry = registry;
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

    /** Whether a call of this owner's shard is still to be gone on with here. */
    boolean isPending(long owner, int shard) {
        Task task = tasks.get(new Place(owner, shard));
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
    void reconcile() {
        LeaseRegistry register = registry.registry();
        long self = leaseHolder.token();
        Set<Place> open = new HashSet<>();
        if (leaseHolder.isValid()) {
            for (OrphanedShards orphan : List.copyOf(register.orphans())) {
                if (!replicaStore.isDropped(orphan.former().token())) {
                    reconcile(register, orphan, self, open);
                }
            }
        }
        openSince.keySet().retainAll(open);
        claimedAt.keySet().retainAll(open);
        for (Iterator<Task> each = tasks.values().iterator(); each.hasNext();) {
            Task task = each.next();
            Optional<OrphanedShards> orphan = register.orphan(task.place.owner());
            Long holder = orphan.isEmpty() ? null : orphan.get().owners().get(task.place.shard());
            if (holder == null || holder != self) {
                each.remove();   // settled, or lost to another
                work.shardCompleted(task.place.owner(), task.place.shard());
            } else {
                reconcile(register, task);
            }
        }
        if ((!open.isEmpty() || !tasks.isEmpty() || !register.orphans().isEmpty()) && !looking) {
            looking = true;
            scheduler.after(LOOK, () -> {
                looking = false;
                reconcile();
            });
        }
    }

    private void reconcile(LeaseRegistry register, OrphanedShards orphan, long self, Set<Place> open) {
        long owner = orphan.former().token();
        Instant now = scheduler.now();
        List<Integer> due = new ArrayList<>();
        orphan.owners().forEach((shard, holder) -> {
            Place place = new Place(owner, shard);
            if (holder == self) {
                tasks.computeIfAbsent(place, any -> begin(register, orphan, place));
            } else if (holder == 0 || !register.isLive(holder)) {
                open.add(place);
                Instant since = openSince.computeIfAbsent(place, any -> now);
                int turn = turn(register.successors(orphan, shard), self);
                Instant asked = claimedAt.get(place);
                if (turn >= 0 && !now.isBefore(since.plus(STEP.multipliedBy(turn)))
                        && (asked == null || now.isAfter(asked.plus(CLAIM_AGAIN)))) {
                    due.add(shard);
                    claimedAt.put(place, now);
                }
            }
        });
        if (!due.isEmpty()) {
            LOG.log(Level.INFO, "{0} shards of {1}, lease {2}, are claimed", Integer.toString(due.size()),
                    orphan.former().name(), Long.toString(owner));
            everClaimed.add(owner);
            registry.submit(new Command.Claim(self, owner, due), answered -> reconcile());
        }
    }

    private static int turn(List<Member> successors, long self) {
        for (int i = 0; i < successors.size(); i++) {
            if (successors.get(i).token() == self) {
                return i;
            }
        }
        return -1;
    }

    // ---- the freshest records

    private Task begin(LeaseRegistry register, OrphanedShards orphan, Place place) {
        Task task = new Task(place, orphan.previousOwners(place.shard()), scheduler.now());
        await(register, task, orphan);
        for (long former : task.past) {
            register.orphan(former).ifPresent(past -> await(register, task, past));
        }
        ask(task);
        return task;
    }

    private void await(LeaseRegistry register, Task task, OrphanedShards orphan) {
        long owner = orphan.former().token();
        int shard = task.place.shard();
        replicaStore.copy(owner, shard).ifPresent(copy -> take(task, owner, copy));
        for (Member successor : register.successors(orphan, shard)) {
            if (successor.token() != leaseHolder.token()) {
                task.awaited.add(new Ask(owner, successor.token()));
            }
        }
    }

    private void ask(Task task) {
        task.askedAt = scheduler.now();
        task.awaited.forEach(ask -> work.send(ask.successor, new PeerMessage.FetchShard(ask.owner, task.place.shard())));
    }

    private void reconcile(LeaseRegistry register, Task task) {
        Instant now = scheduler.now();
        task.awaited.removeIf(ask -> !register.isLive(ask.successor));   // its copy went with it
        if (!task.awaited.isEmpty() && !now.isBefore(task.askedAt.plus(ASK_AGAIN))) {
            ask(task);
        }
        gatherIfReady(task);
        if (task.adopted && task.awaited.isEmpty()) {
            settle(task);
        } else if (!task.awaited.isEmpty() && !task.reportedLate && now.isAfter(task.since.plus(SAY_LATE))) {
            task.reportedLate = true;
            LOG.log(Level.WARNING, "shard {0} of lease {1} waits for the replicas of {2}",
                    Integer.toString(task.place.shard()),
                    Long.toString(task.place.owner()), task.awaited);
        }
    }

    /**
     * Begins once all have been heard, or after a while with what is there. What one that had gone on with the shard had
     * noted has to be heard of from all who may know: its calls are gone on with by its own records.
     */
    private void gatherIfReady(Task task) {
        boolean allOfPast = task.awaited.stream().noneMatch(ask -> ask.owner != task.place.owner());
        if (!task.gathered && allOfPast
                && (task.awaited.isEmpty() || !scheduler.now().isBefore(task.since.plus(PULL_MOST)))) {
            gathered(task);
        }
    }

    private static void take(Task task, long owner, ReplicaStore.ShardCopy copy) {
        ReplicaStore.ShardCopy before = task.freshest.get(owner);
        if (before == null || before.upTo() < copy.upTo()) {
            task.freshest.put(owner, copy);
        }
    }

    /** A holder's word of what it has. */
    void fetched(long holder, PeerMessage.ShardFetched pulled) {
        for (Task task : List.copyOf(tasks.values())) {
            if (task.place.shard() == pulled.shard() && task.awaited.remove(new Ask(pulled.owner(), holder))) {
                ReplicaStore.ShardCopy before = task.freshest.get(pulled.owner());
                if (pulled.upTo() >= 0) {
                    take(task, pulled.owner(), new ReplicaStore.ShardCopy(pulled.upTo(), pulled.records()));
                }
                ReplicaStore.ShardCopy after = task.freshest.get(pulled.owner());
                if (task.gathered && after != before) {
                    mend(task, before, after);
                }
                gatherIfReady(task);
            }
        }
    }

    /** A fresher copy came after the shard was gone on with: what it knows otherwise is put right. */
    private void mend(Task task, ReplicaStore.ShardCopy before, ReplicaStore.ShardCopy after) {
        Map<String, CallRecord.Kind> had = new HashMap<>();
        if (before != null) {
            before.records().forEach(record -> had.put(record.callId(), record.kind()));
        }
        for (CallRecord record : after.records()) {
            if (record.kind() != CallRecord.Kind.COMPLETED && had.remove(record.callId()) != record.kind()
                    && !task.elsewhere.contains(record.callId())) {
                queue.add(() -> adopt(task, record));
            }
        }
        had.keySet().forEach(call -> queue.add(() -> work.complete(call, task.place.owner(), task.place.shard())));
        adoptSoon();
    }

    private void gathered(Task task) {
        task.gathered = true;
        for (long former : task.past) {
            // What one that had gone on with them noted itself goes by its own records, to whoever claims those.
            ReplicaStore.ShardCopy copy = task.freshest.get(former);
            if (copy != null) {
                copy.records().forEach(record -> task.elsewhere.add(record.callId()));
            }
        }
        ReplicaStore.ShardCopy copy = task.freshest.get(task.place.owner());
        if (copy != null) {
            for (CallRecord record : copy.records()) {
                if (record.kind() != CallRecord.Kind.COMPLETED && !task.elsewhere.contains(record.callId())) {
                    queue.add(() -> adopt(task, record));
                }
            }
        }
        queue.add(() -> {
            task.adopted = true;
            sayIfDone(task.place.owner());
            reconcile();
        });
        adoptSoon();
    }

    private void adopt(Task task, CallRecord record) {
        if (tasks.get(task.place) == task) {
            adopted++;
            unsaid.merge(task.place.owner(), 1, Integer::sum);
            work.adopt(record, task.place.owner(), task.place.shard());
        }
    }

    private void sayIfDone(long owner) {
        if (tasks.values().stream().allMatch(task -> task.adopted || task.place.owner() != owner)) {
            Integer calls = unsaid.remove(owner);
            LOG.log(Level.INFO, "{0} calls of lease {1} are adopted", Integer.toString(calls == null ? 0 : calls),
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
        if (now.isBefore(task.settleAskedAt) || !work.isReplicated(task.place.owner(), task.place.shard())
                || !leaseHolder.isValid()) {
            return;
        }
        task.settleAskedAt = now.plus(CLAIM_AGAIN);
        List<Integer> shards = new ArrayList<>();
        for (Task other : tasks.values()) {
            if (other.place.owner() == task.place.owner() && other.adopted
                    && work.isReplicated(other.place.owner(), other.place.shard())) {
                other.settleAskedAt = task.settleAskedAt;
                shards.add(other.place.shard());
            }
        }
        registry.submit(new Command.Complete(leaseHolder.token(), task.place.owner(), shards), answered -> reconcile());
    }
}
