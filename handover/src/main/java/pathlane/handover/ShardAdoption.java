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
 * Adopts the calls of members whose leases have ended: claims the shards for which this member is the successor, finds the
 * replica holder with the freshest records, adopts the calls at a limited rate, and completes each shard once this member's
 * own records of its calls are replicated. Confined to the event loop thread.
 *
 * <p>The first live successor of a shard claims it at once, the next one after one {@link #SUCCESSOR_CLAIM_DELAY}, and so
 * on: this passes over a successor that is slow, and the registry grants a shard to one member only.
 */
final class ShardAdoption {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration SUCCESSOR_CLAIM_DELAY = Duration.ofMillis(500);
    private static final Duration REGISTRY_RETRY_INTERVAL = Duration.ofMillis(300);
    /** How long the replicas of the other replica holders are waited for. */
    private static final Duration MAX_FETCH_WAIT = Duration.ofMillis(500);
    private static final Duration FETCH_RETRY_INTERVAL = Duration.ofMillis(300);
    private static final Duration LATE_WARNING_DELAY = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final Duration ADOPTION_INTERVAL = Duration.ofMillis(10);

    /** Acts on the calls of the claimed shards. */
    interface Listener {
        /** Adopts a call. The former owner's records of the shard are dropped once the shard is completed. */
        void adopt(CallRecord record, long formerOwner, int shard);

        /** An adopted call turns out to be over by its former owner's freshest records. */
        void complete(String callId, long formerOwner, int shard);

        /** Whether this member's own records of all calls of a shard are at all its connected replica holders. */
        boolean isReplicated(long formerOwner, int shard);

        /** A shard is completed or lost: what was recorded for its adoption can be dropped. */
        void shardCompleted(long formerOwner, int shard);

        void send(long member, PeerMessage message);
    }

    private record ShardKey(long owner, int shard) {}

    /** The adoption of a shard that this member has claimed. */
    private static final class Adoption {
        final ShardKey key;
        final List<Long> previousOwners;
        final Instant startedAt;
        /** Requests without a reply so far. */
        final Set<ReplicaRequest> unanswered = new HashSet<>();
        final Map<Long, ReplicaStore.ShardCopy> freshestCopies = new HashMap<>();
        /** Calls of the shard that a previous owner has adopted, by its own records. */
        final Set<String> adoptedBefore = new HashSet<>();
        Instant requestedAt;
        boolean isEnqueued;
        boolean isLateReported;
        boolean isAdopted;
        Instant nextCompletionAt = Instant.MIN;

        Adoption(ShardKey key, List<Long> previousOwners, Instant startedAt) {
            this.key = key;
            this.previousOwners = previousOwners;
            this.startedAt = startedAt;
            this.requestedAt = startedAt;
        }
    }

    /** A request to a successor for its replica of an owner's records of the shard. */
    private record ReplicaRequest(long owner, long successor) {}

    private final RegistryAccess registry;
    private final LeaseHolder leaseHolder;
    private final Scheduler scheduler;
    private final ReplicaStore replicaStore;
    private final ShardAdoption.Listener listener;
    private final int callsPerBatch;
    private final Map<ShardKey, Adoption> adoptions = new TreeMap<>(java.util.Comparator.comparingLong(ShardKey::owner)
            .thenComparingInt(ShardKey::shard));
    private final Map<ShardKey, Instant> unclaimedSince = new HashMap<>();
    private final Map<ShardKey, Instant> claimedAt = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    /** Owners of which this lease has ever requested a shard: a claim may still be in flight. */
    private final Set<Long> claimedOwners = new HashSet<>();
    /** The number of adopted calls that are not logged yet, by former owner. */
    private final Map<Long, Integer> unloggedAdoptions = new HashMap<>();
    private boolean isAdopting;
    private boolean isPollScheduled;
    private long adoptedCount;

    /** {@code callsPerSecond} limits the rate at which calls are adopted. */
    ShardAdoption(RegistryAccess registry, LeaseHolder leaseHolder, Scheduler scheduler, ReplicaStore replicaStore,
            int callsPerSecond, ShardAdoption.Listener listener) {
        this.registry = registry;
        this.leaseHolder = leaseHolder;
        this.scheduler = scheduler;
        this.replicaStore = replicaStore;
        this.listener = listener;
        this.callsPerBatch = Math.max(1, (int) (callsPerSecond * ADOPTION_INTERVAL.toMillis() / 1000));
    }

    /** The number of calls adopted since the start. */
    long adoptedCount() {
        return adoptedCount;
    }

    /** Whether calls of this owner's shard are still to be adopted here. */
    boolean isPending(long owner, int shard) {
        Adoption adoption = adoptions.get(new ShardKey(owner, shard));
        return adoption != null && !adoption.isAdopted;
    }

    /** Whether this lease has ever claimed a shard of this owner. */
    boolean hasClaimed(long owner) {
        return claimedOwners.contains(owner);
    }

    /** This member's lease has ended: others adopt what it had claimed. */
    void stop() {
        adoptions.clear();
        queue.clear();
        unclaimedSince.clear();
        claimedAt.clear();
        claimedOwners.clear();
        unloggedAdoptions.clear();
    }

    /** Compares the claims with the registry; runs after each registry change and periodically. */
    void reconcile() {
        LeaseRegistry current = registry.registry();
        long ownToken = leaseHolder.token();
        Set<ShardKey> unclaimed = new HashSet<>();
        if (leaseHolder.isValid()) {
            for (OrphanedShards orphan : List.copyOf(current.orphans())) {
                if (!replicaStore.isDropped(orphan.formerOwner().token())) {
                    reconcile(current, orphan, ownToken, unclaimed);
                }
            }
        }
        unclaimedSince.keySet().retainAll(unclaimed);
        claimedAt.keySet().retainAll(unclaimed);
        for (Iterator<Adoption> iterator = adoptions.values().iterator(); iterator.hasNext();) {
            Adoption adoption = iterator.next();
            Optional<OrphanedShards> orphan = current.orphan(adoption.key.owner());
            Long claimer = orphan.isEmpty() ? null : orphan.get().owners().get(adoption.key.shard());
            if (claimer == null || claimer != ownToken) {
                iterator.remove();   // completed, or claimed by another member
                listener.shardCompleted(adoption.key.owner(), adoption.key.shard());
            } else {
                reconcile(current, adoption);
            }
        }
        if ((!unclaimed.isEmpty() || !adoptions.isEmpty() || !current.orphans().isEmpty()) && !isPollScheduled) {
            isPollScheduled = true;
            scheduler.after(POLL_INTERVAL, () -> {
                isPollScheduled = false;
                reconcile();
            });
        }
    }

    private void reconcile(LeaseRegistry current, OrphanedShards orphan, long ownToken, Set<ShardKey> unclaimed) {
        long owner = orphan.formerOwner().token();
        Instant now = scheduler.now();
        List<Integer> shardsToClaim = new ArrayList<>();
        orphan.owners().forEach((shard, claimer) -> {
            ShardKey key = new ShardKey(owner, shard);
            if (claimer == ownToken) {
                adoptions.computeIfAbsent(key, any -> startAdoption(current, orphan, key));
            } else if (claimer == 0 || !current.isLive(claimer)) {
                unclaimed.add(key);
                Instant openedAt = unclaimedSince.computeIfAbsent(key, any -> now);
                int rank = successorRank(current.successors(orphan, shard), ownToken);
                Instant lastClaimAt = claimedAt.get(key);
                if (rank >= 0 && !now.isBefore(openedAt.plus(SUCCESSOR_CLAIM_DELAY.multipliedBy(rank)))
                        && (lastClaimAt == null || now.isAfter(lastClaimAt.plus(REGISTRY_RETRY_INTERVAL)))) {
                    shardsToClaim.add(shard);
                    claimedAt.put(key, now);
                }
            }
        });
        if (!shardsToClaim.isEmpty()) {
            LOG.log(Level.INFO, "{0} shards of {1}, lease {2}, are claimed", Integer.toString(shardsToClaim.size()),
                    orphan.formerOwner().name(), Long.toString(owner));
            claimedOwners.add(owner);
            registry.submit(new Command.Claim(ownToken, owner, shardsToClaim), reply -> reconcile());
        }
    }

    private static int successorRank(List<Member> successors, long ownToken) {
        for (int i = 0; i < successors.size(); i++) {
            if (successors.get(i).token() == ownToken) {
                return i;
            }
        }
        return -1;
    }

    // ---- freshest records

    private Adoption startAdoption(LeaseRegistry current, OrphanedShards orphan, ShardKey key) {
        Adoption adoption = new Adoption(key, orphan.previousOwners(key.shard()), scheduler.now());
        awaitReplicas(current, adoption, orphan);
        for (long previousOwner : adoption.previousOwners) {
            current.orphan(previousOwner).ifPresent(previous -> awaitReplicas(current, adoption, previous));
        }
        fetchReplicas(adoption);
        return adoption;
    }

    private void awaitReplicas(LeaseRegistry current, Adoption adoption, OrphanedShards orphan) {
        long owner = orphan.formerOwner().token();
        int shard = adoption.key.shard();
        replicaStore.copy(owner, shard).ifPresent(copy -> keepFreshest(adoption, owner, copy));
        for (Member successor : current.successors(orphan, shard)) {
            if (successor.token() != leaseHolder.token()) {
                adoption.unanswered.add(new ReplicaRequest(owner, successor.token()));
            }
        }
    }

    private void fetchReplicas(Adoption adoption) {
        adoption.requestedAt = scheduler.now();
        adoption.unanswered.forEach(request -> listener.send(request.successor,
                new PeerMessage.FetchShard(request.owner, adoption.key.shard())));
    }

    private void reconcile(LeaseRegistry current, Adoption adoption) {
        Instant now = scheduler.now();
        adoption.unanswered.removeIf(request -> !current.isLive(request.successor));   // its replica is lost with it
        if (!adoption.unanswered.isEmpty() && !now.isBefore(adoption.requestedAt.plus(FETCH_RETRY_INTERVAL))) {
            fetchReplicas(adoption);
        }
        enqueueIfReady(adoption);
        if (adoption.isAdopted && adoption.unanswered.isEmpty()) {
            completeShards(adoption);
        } else if (!adoption.unanswered.isEmpty() && !adoption.isLateReported
                && now.isAfter(adoption.startedAt.plus(LATE_WARNING_DELAY))) {
            adoption.isLateReported = true;
            LOG.log(Level.WARNING, "shard {0} of lease {1} is still waiting for replicas: {2}",
                    Integer.toString(adoption.key.shard()), Long.toString(adoption.key.owner()), adoption.unanswered);
        }
    }

    /**
     * Starts the adoption once all replicas have arrived, or after a timeout with those that have. The replicas of previous
     * owners' own records are all waited for without a timeout: the calls in them are adopted by those records.
     */
    private void enqueueIfReady(Adoption adoption) {
        boolean hasAllOfPrevious = adoption.unanswered.stream().noneMatch(request -> request.owner != adoption.key.owner());
        if (!adoption.isEnqueued && hasAllOfPrevious
                && (adoption.unanswered.isEmpty() || !scheduler.now().isBefore(adoption.startedAt.plus(MAX_FETCH_WAIT)))) {
            enqueueAdoptions(adoption);
        }
    }

    private static void keepFreshest(Adoption adoption, long owner, ReplicaStore.ShardCopy copy) {
        ReplicaStore.ShardCopy previous = adoption.freshestCopies.get(owner);
        if (previous == null || previous.upTo() < copy.upTo()) {
            adoption.freshestCopies.put(owner, copy);
        }
    }

    /** A replica holder has sent its replica of a shard. */
    void fetched(long replicaHolder, PeerMessage.ShardFetched message) {
        for (Adoption adoption : List.copyOf(adoptions.values())) {
            if (adoption.key.shard() == message.shard()
                    && adoption.unanswered.remove(new ReplicaRequest(message.owner(), replicaHolder))) {
                ReplicaStore.ShardCopy previous = adoption.freshestCopies.get(message.owner());
                if (message.upTo() >= 0) {
                    keepFreshest(adoption, message.owner(), new ReplicaStore.ShardCopy(message.upTo(), message.records()));
                }
                ReplicaStore.ShardCopy fresher = adoption.freshestCopies.get(message.owner());
                if (adoption.isEnqueued && fresher != previous) {
                    applyFresherCopy(adoption, previous, fresher);
                }
                enqueueIfReady(adoption);
            }
        }
    }

    /** A fresher replica arrived after the adoption had started: adopts and completes the calls on which it differs. */
    private void applyFresherCopy(Adoption adoption, ReplicaStore.ShardCopy previous, ReplicaStore.ShardCopy fresher) {
        Map<String, CallRecord.Kind> previousKinds = new HashMap<>();
        if (previous != null) {
            previous.records().forEach(record -> previousKinds.put(record.callId(), record.kind()));
        }
        for (CallRecord record : fresher.records()) {
            if (record.kind() != CallRecord.Kind.COMPLETED && previousKinds.remove(record.callId()) != record.kind()
                    && !adoption.adoptedBefore.contains(record.callId())) {
                queue.add(() -> adopt(adoption, record));
            }
        }
        previousKinds.keySet().forEach(
                callId -> queue.add(() -> listener.complete(callId, adoption.key.owner(), adoption.key.shard())));
        scheduleAdoption();
    }

    private void enqueueAdoptions(Adoption adoption) {
        adoption.isEnqueued = true;
        for (long previousOwner : adoption.previousOwners) {
            // Calls that a previous owner had adopted are left to the member that claims that owner's own records.
            ReplicaStore.ShardCopy copy = adoption.freshestCopies.get(previousOwner);
            if (copy != null) {
                copy.records().forEach(record -> adoption.adoptedBefore.add(record.callId()));
            }
        }
        ReplicaStore.ShardCopy copy = adoption.freshestCopies.get(adoption.key.owner());
        if (copy != null) {
            for (CallRecord record : copy.records()) {
                if (record.kind() != CallRecord.Kind.COMPLETED && !adoption.adoptedBefore.contains(record.callId())) {
                    queue.add(() -> adopt(adoption, record));
                }
            }
        }
        queue.add(() -> {
            adoption.isAdopted = true;
            logIfAdopted(adoption.key.owner());
            reconcile();
        });
        scheduleAdoption();
    }

    private void adopt(Adoption adoption, CallRecord record) {
        if (adoptions.get(adoption.key) == adoption) {
            adoptedCount++;
            unloggedAdoptions.merge(adoption.key.owner(), 1, Integer::sum);
            listener.adopt(record, adoption.key.owner(), adoption.key.shard());
        }
    }

    private void logIfAdopted(long owner) {
        if (adoptions.values().stream().allMatch(adoption -> adoption.isAdopted || adoption.key.owner() != owner)) {
            Integer calls = unloggedAdoptions.remove(owner);
            LOG.log(Level.INFO, "{0} calls of lease {1} are adopted", Integer.toString(calls == null ? 0 : calls),
                    Long.toString(owner));
        }
    }

    private void scheduleAdoption() {
        if (!isAdopting && !queue.isEmpty()) {
            isAdopting = true;
            scheduler.after(Duration.ZERO, this::adoptBatch);
        }
    }

    private void adoptBatch() {
        if (!leaseHolder.isValid()) {
            scheduler.after(POLL_INTERVAL, this::adoptBatch);   // resumed when the lease is valid again, cleared when lost
            return;
        }
        for (int i = 0; i < callsPerBatch && !queue.isEmpty(); i++) {
            queue.poll().run();
        }
        isAdopting = !queue.isEmpty();
        if (isAdopting) {
            scheduler.after(ADOPTION_INTERVAL, this::adoptBatch);
        }
    }

    private void completeShards(Adoption adoption) {
        Instant now = scheduler.now();
        if (now.isBefore(adoption.nextCompletionAt) || !listener.isReplicated(adoption.key.owner(), adoption.key.shard())
                || !leaseHolder.isValid()) {
            return;
        }
        adoption.nextCompletionAt = now.plus(REGISTRY_RETRY_INTERVAL);
        List<Integer> shards = new ArrayList<>();
        for (Adoption other : adoptions.values()) {
            if (other.key.owner() == adoption.key.owner() && other.isAdopted
                    && listener.isReplicated(other.key.owner(), other.key.shard())) {
                other.nextCompletionAt = adoption.nextCompletionAt;
                shards.add(other.key.shard());
            }
        }
        registry.submit(new Command.Complete(leaseHolder.token(), adoption.key.owner(), shards), reply -> reconcile());
    }
}
