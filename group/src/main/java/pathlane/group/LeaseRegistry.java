package pathlane.group;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import pathlane.group.Command.Claim;
import pathlane.group.Command.Complete;
import pathlane.group.Command.Expire;
import pathlane.group.Command.Join;
import pathlane.group.Command.Leave;
import pathlane.group.Command.Reclaim;
import pathlane.group.Command.Renew;
import pathlane.group.Command.Renewal;
import pathlane.group.Command.Replicated;

/**
 * The group's registry of leases: who holds one, whose shards are orphaned, and who has claimed which. Deterministic and
 * without a clock: the same commands in the same order give the same state at every voter, and at every member that follows
 * them. Not thread-safe.
 *
 * <p>Invariants after each command: a token is granted once and tokens only increase; an orphaned shard has at most one
 * owner with a live lease; that owner is one of the replica holders in the former owner's last replicated view.
 */
public final class LeaseRegistry {

    /** A live lease. */
    static final class Lease {
        final Member member;
        long renewals;
        /** The view in which all records of the member are replicated; 0 while none are. */
        long replicatedView;

        Lease(Member member) {
            this.member = member;
        }
    }

    private final UnclaimableShards unclaimable = new UnclaimableShards();
    private final SortedMap<Long, Lease> leases = new TreeMap<>();
    private final SortedMap<Long, OrphanedShards> orphans = new TreeMap<>();
    /** The members of the current view and of each earlier view by which records are still placed. */
    private final SortedMap<Long, List<Member>> views = new TreeMap<>();
    private long lastToken;
    private long view;
    private int replicaCount;

    /** Creates an empty registry. */
    public LeaseRegistry() {
        views.put(view, List.of());
    }

    // ---- queries

    /** The number of the current view; it increases whenever a lease begins or ends. */
    public long view() {
        return view;
    }

    /** The members of the current view, by token. */
    public List<Member> members() {
        return views.get(view);
    }

    /** The greatest token granted so far. */
    public long lastToken() {
        return lastToken;
    }

    /** The number of replica holders of each record. */
    public int replicaCount() {
        return replicaCount;
    }

    /** Whether the lease with this token has not ended. */
    public boolean isLive(long token) {
        return leases.containsKey(token);
    }

    /** The live member of this name; the latest one if the lease of an earlier process has not ended yet. */
    public Optional<Member> memberNamed(String name) {
        return members().stream().filter(member -> member.name().equals(name)).reduce((first, second) -> second);
    }

    /** The member with this live lease. */
    public Optional<Member> member(long token) {
        return Optional.ofNullable(leases.get(token)).map(lease -> lease.member);
    }

    /** The number of the latest renewal of a lease; -1 if the lease has ended. */
    public long renewals(long token) {
        Lease lease = leases.get(token);
        return lease == null ? -1 : lease.renewals;
    }

    /** The view in which all records of a live member are replicated; 0 while none are, or if it has no lease. */
    public long replicatedView(long token) {
        Lease lease = leases.get(token);
        return lease == null ? 0 : lease.replicatedView;
    }

    /** The orphaned shards that are not completed, ordered by the token of their former owner. */
    public Collection<OrphanedShards> orphans() {
        return Collections.unmodifiableCollection(orphans.values());
    }

    /** The orphaned shards of a former member. */
    public Optional<OrphanedShards> orphan(long token) {
        return Optional.ofNullable(orphans.get(token));
    }

    /** The replica holders of a member's shard in a view that is still known, the first successor first. */
    public List<Member> replicaHolders(long owner, int shard, long viewNumber) {
        return ShardPlacement.replicaHolders(shard, views.getOrDefault(viewNumber, List.of()), owner, replicaCount);
    }

    /** The live replica holders of an orphaned shard, the first successor first. */
    public List<Member> successors(OrphanedShards orphan, int shard) {
        return replicaHolders(orphan.formerOwner().token(), shard, orphan.view()).stream()
                .filter(member -> isLive(member.token())).toList();
    }

    /** The live owner of a shard of a current or former member, found by following the claims; empty if there is none. */
    public Optional<Member> currentOwner(long token, int shard) {
        long currentToken = token;
        for (int hops = 0; hops <= orphans.size(); hops++) {
            if (isLive(currentToken)) {
                return member(currentToken);
            }
            OrphanedShards orphan = orphans.get(currentToken);
            Long owner = orphan == null ? null : orphan.owners().get(shard);
            if (owner == null || owner == OrphanedShards.UNCLAIMED) {
                return Optional.empty();
            }
            currentToken = owner;
        }
        return Optional.empty();
    }

    /** Whether a shard of a former member is unclaimed or unclaimable, so that its own process may still reclaim it. */
    public boolean isReclaimable(long token, int shard) {
        OrphanedShards orphan = orphans.get(token);
        return orphan != null && orphan.isUnclaimed(shard) || unclaimable.contains(token, shard);
    }

    // ---- commands

    /** Carries out a command. */
    public Reply apply(Command command) {
        if (command instanceof Join join) {
            return join(join);
        } else if (command instanceof Renew renew) {
            return renew(renew);
        } else if (command instanceof Leave leave) {
            endLease(leave.token(), false);
            return Reply.DONE;
        } else if (command instanceof Expire expire) {
            return expire(expire);
        } else if (command instanceof Replicated replicated) {
            return replicated(replicated);
        } else if (command instanceof Claim claim) {
            return claim(claim);
        } else if (command instanceof Reclaim reclaim) {
            return reclaim(reclaim);
        }
        return complete((Complete) command);
    }

    private Reply join(Join join) {
        if (join.replicaCount() != replicaCount && !(leases.isEmpty() && orphans.isEmpty())) {
            return new Reply.Refused("copies is " + join.replicaCount() + " at " + join.name() + " and " + replicaCount
                    + " in the group");
        }
        Optional<Member> existing = memberNamed(join.name());
        Optional<Reply> immediateReply = existing.flatMap(member -> replyToExistingMember(join, member));
        if (immediateReply.isPresent()) {
            return immediateReply.get();
        }
        replicaCount = join.replicaCount();
        // A process that listens at the same address shows that the earlier one has ended; otherwise that lease must expire.
        existing.filter(member -> member.incarnation() == join.incarnation() || member.address().equals(join.address()))
                .ifPresent(member -> endLease(member.token(),
                        join.areReplicasDropped() && member.token() == join.previousToken()));
        OrphanedShards previous = orphans.get(join.previousToken());
        if (join.areReplicasDropped() && previous != null && previous.isUnclaimed()) {
            orphans.remove(join.previousToken());   // no member has any of its records any more
        }
        unclaimable.removeReplaced(join.name(), join.incarnation(), join.address());
        Member member = new Member(join.name(), join.incarnation(), join.address(), ++lastToken);
        leases.put(member.token(), new Lease(member));
        advanceView();
        return new Reply.Granted(member.token());
    }

    /** The immediate reply to a join under the name of a live member, if there is one. */
    private static Optional<Reply> replyToExistingMember(Join join, Member member) {
        boolean isSameProcess = member.incarnation() == join.incarnation();
        if (isSameProcess && join.previousToken() < member.token()) {
            return Optional.of(new Reply.Granted(member.token()));   // the previous reply was lost
        }
        if (!isSameProcess && join.previousToken() > 0) {
            // A suspended process has resumed after another one was started in its place.
            return Optional.of(new Reply.Refused("another process has joined as " + join.name()));
        }
        return Optional.empty();
    }

    private Reply renew(Renew renew) {
        List<Long> ended = new ArrayList<>();
        for (Renewal renewal : renew.renewals()) {
            Lease lease = leases.get(renewal.token());
            if (lease == null) {
                ended.add(renewal.token());
            } else {
                lease.renewals = Math.max(lease.renewals, renewal.renewalNumber());
            }
        }
        return new Reply.Ended(ended);
    }

    private Reply expire(Expire expire) {
        if (renewals(expire.token()) == expire.renewalNumber()) {
            endLease(expire.token(), false);
        }
        return Reply.DONE;
    }

    private Reply replicated(Replicated replicated) {
        Lease lease = leases.get(replicated.token());
        if (lease == null) {
            return new Reply.Ended(List.of(replicated.token()));
        }
        if (replicated.viewNumber() > lease.replicatedView && views.containsKey(replicated.viewNumber())) {
            lease.replicatedView = replicated.viewNumber();
            removeUnusedViews();
        }
        return Reply.DONE;
    }

    private Reply claim(Claim claim) {
        List<Integer> owned = new ArrayList<>();
        OrphanedShards orphan = orphans.get(claim.formerToken());
        if (orphan != null && isLive(claim.claimerToken())) {
            for (int shard : claim.shards()) {
                if (mayClaim(orphan, shard, claim.claimerToken())) {
                    orphan.assign(shard, claim.claimerToken());
                    owned.add(shard);
                }
            }
        }
        return new Reply.Owned(owned);
    }

    private boolean mayClaim(OrphanedShards orphan, int shard, long claimerToken) {
        Long owner = orphan.owners().get(shard);
        if (owner == null || owner == claimerToken) {
            return owner != null;
        }
        boolean isFree = owner == OrphanedShards.UNCLAIMED || !isLive(owner);
        return isFree && successors(orphan, shard).stream().anyMatch(member -> member.token() == claimerToken);
    }

    private Reply reclaim(Reclaim reclaim) {
        List<Integer> takenBack = new ArrayList<>();
        if (mayReclaim(reclaim)) {
            Optional<OrphanedShards> orphan = orphan(reclaim.formerToken());
            for (int shard : reclaim.shards()) {
                if (wasTakenOverBy(reclaim.formerToken(), shard)) {
                    continue;   // calls that it had adopted are still looked up in its records
                }
                boolean isUnclaimed = orphan.filter(shards -> shards.isUnclaimed(shard)).isPresent();
                if (isUnclaimed) {
                    orphan.get().remove(shard);
                    takenBack.add(shard);
                } else if (unclaimable.reclaim(reclaim.formerToken(), shard)) {
                    takenBack.add(shard);
                }
            }
            dropLostShards();
        }
        return new Reply.Owned(takenBack);
    }

    private boolean mayReclaim(Reclaim reclaim) {
        Optional<Member> formerOwner = orphan(reclaim.formerToken()).map(OrphanedShards::formerOwner)
                .or(() -> unclaimable.formerOwner(reclaim.formerToken()));
        Optional<Member> member = member(reclaim.token());
        return formerOwner.isPresent() && member.isPresent() && member.get().name().equals(formerOwner.get().name())
                && member.get().incarnation() == formerOwner.get().incarnation();
    }

    private Reply complete(Complete complete) {
        OrphanedShards orphan = orphans.get(complete.formerToken());
        if (orphan != null) {
            for (int shard : complete.shards()) {
                Long owner = orphan.owners().get(shard);
                // Calls that the former owner had itself adopted are looked up in its records by their next owner: if the
                // shard were removed here, two members would continue one call.
                if (owner != null && owner == complete.claimerToken() && isLive(owner)
                        && !wasTakenOverBy(complete.formerToken(), shard)) {
                    orphan.remove(shard);
                }
            }
            dropLostShards();
        }
        return Reply.DONE;
    }

    private boolean wasTakenOverBy(long token, int shard) {
        return orphans.values().stream().anyMatch(orphan -> orphan.hasBeenOwnedBy(token, shard));
    }

    /** Ends a lease: its replicated shards become orphaned, or unclaimable if no member has its records. */
    private void endLease(long token, boolean areReplicasDropped) {
        Lease lease = leases.remove(token);
        if (lease == null) {
            return;
        }
        if (lease.replicatedView > 0 && !areReplicasDropped) {
            orphans.put(token, OrphanedShards.unclaimed(lease.member, lease.replicatedView));
        } else if (!areReplicasDropped) {
            BitSet all = new BitSet();
            all.set(0, ShardPlacement.SHARD_COUNT);
            unclaimable.add(lease.member, all);
        }
        advanceView();
        dropLostShards();
    }

    private void advanceView() {
        view++;
        views.put(view, leases.values().stream().map(lease -> lease.member).toList());
        removeUnusedViews();
    }

    /** Drops shards without a live replica holder: records exist in memory only, so they are lost with their holders. */
    private void dropLostShards() {
        for (OrphanedShards orphan : List.copyOf(orphans.values())) {
            BitSet lost = new BitSet();
            orphan.owners().forEach((shard, owner) -> lost.set(shard,
                    (owner == OrphanedShards.UNCLAIMED || !isLive(owner)) && successors(orphan, shard).isEmpty()));
            lost.stream().forEach(orphan::remove);
            unclaimable.add(orphan.formerOwner(), lost);
            if (orphan.isEmpty()) {
                orphans.remove(orphan.formerOwner().token());
            }
        }
        removeUnusedViews();
    }

    private void removeUnusedViews() {
        Set<Long> used = new HashSet<>();
        used.add(view);
        leases.values().forEach(lease -> used.add(lease.replicatedView));
        orphans.values().forEach(orphan -> used.add(orphan.view()));
        views.keySet().retainAll(used);
    }

    // ---- snapshots

    /** The complete state, for {@link RegistryCodec}. */
    record Snapshot(long lastToken, long view, int replicaCount, SortedMap<Long, Lease> leases,
            SortedMap<Long, OrphanedShards> orphans, SortedMap<Long, UnclaimableShards.Entry> unclaimable,
            SortedMap<Long, List<Member>> views) {}

    Snapshot snapshot() {
        return new Snapshot(lastToken, view, replicaCount, leases, orphans, unclaimable.entries(), views);
    }

    static LeaseRegistry restore(Snapshot snapshot) {
        LeaseRegistry registry = new LeaseRegistry();
        registry.lastToken = snapshot.lastToken;
        registry.view = snapshot.view;
        registry.replicaCount = snapshot.replicaCount;
        registry.leases.putAll(snapshot.leases);
        registry.orphans.putAll(snapshot.orphans);
        snapshot.unclaimable.values().forEach(registry.unclaimable::restore);
        registry.views.clear();
        registry.views.putAll(snapshot.views);
        return registry;
    }
}
