package pathlane.group;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The shards of calls of a member whose lease has ended, and who has claimed them. Part of {@link LeaseRegistry}, which
 * alone changes it; not thread-safe.
 */
public final class OrphanedShards {

    /** The owner token of a shard that no member has claimed. */
    public static final long UNCLAIMED = 0;

    private final Member formerOwner;
    private final long view;
    private final SortedMap<Integer, Long> owners = new TreeMap<>();
    private final SortedMap<Integer, List<Long>> previousOwners = new TreeMap<>();

    OrphanedShards(Member formerOwner, long view) {
        this.formerOwner = formerOwner;
        this.view = view;
    }

    /** All shards of a former member, none of them claimed. */
    static OrphanedShards unclaimed(Member formerOwner, long view) {
        OrphanedShards orphan = new OrphanedShards(formerOwner, view);
        for (int shard = 0; shard < ShardPlacement.SHARD_COUNT; shard++) {
            orphan.owners.put(shard, UNCLAIMED);
        }
        return orphan;
    }

    /** Creates an instance from a snapshot. */
    static OrphanedShards restore(Member formerOwner, long view, Map<Integer, Long> owners,
            Map<Integer, List<Long>> previousOwners) {
        OrphanedShards orphan = new OrphanedShards(formerOwner, view);
        orphan.owners.putAll(owners);
        orphan.previousOwners.putAll(previousOwners);
        return orphan;
    }

    /** The member that owned the shards until its lease ended. */
    public Member formerOwner() {
        return formerOwner;
    }

    /** The view that determines where the replicas of the shards are placed. */
    public long view() {
        return view;
    }

    /** The shards that are not completed, each with the token of its claimer or {@link #UNCLAIMED}. */
    public Map<Integer, Long> owners() {
        return Collections.unmodifiableMap(owners);
    }

    /** The tokens of the claimers of a shard whose own leases have ended since, in order of their claims. */
    public List<Long> previousOwners(int shard) {
        return previousOwners.getOrDefault(shard, List.of());
    }

    /** Whether a shard is neither completed nor claimed. */
    boolean isUnclaimed(int shard) {
        Long owner = owners.get(shard);
        return owner != null && owner == UNCLAIMED;
    }

    /** Whether no shard is claimed. */
    boolean isUnclaimed() {
        return owners.values().stream().allMatch(owner -> owner == UNCLAIMED);
    }

    /** Whether a member owns an uncompleted shard, or owned it before its own lease ended. */
    boolean hasBeenOwnedBy(long token, int shard) {
        Long owner = owners.get(shard);
        return owner != null && (owner == token || previousOwners(shard).contains(token));
    }

    /** Makes a member the owner of a shard. The calls that a previous owner has adopted are in that owner's own records. */
    void assign(int shard, long token) {
        long previousOwner = owners.put(shard, token);
        if (previousOwner != UNCLAIMED && previousOwner != token) {
            previousOwners.computeIfAbsent(shard, key -> new ArrayList<>()).add(previousOwner);
        }
    }

    /** Removes a shard that is completed, reclaimed or lost: it can't be claimed any more. */
    void remove(int shard) {
        owners.remove(shard);
    }

    /** Whether no shards remain. */
    boolean isEmpty() {
        return owners.isEmpty();
    }
}
