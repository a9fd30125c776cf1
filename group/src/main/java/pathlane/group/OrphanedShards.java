package pathlane.group;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The calls, by shard, of a member whose lease has ended. Part of {@link LeaseRegistry}, which alone changes it; not
 * thread-safe.
 */
public final class OrphanedShards {

    /** The token of a shard's owner while nobody has claimed it. */
    public static final long NOBODY = 0;

    private final Member former;
    private final long view;
    private final SortedMap<Integer, Long> owners = new TreeMap<>();
    private final SortedMap<Integer, List<Long>> previousOwners = new TreeMap<>();

    OrphanedShards(Member former, long view) {
        this.former = former;
        this.view = view;
    }

    /** All shards of a member that has gone, none of them claimed. */
    static OrphanedShards unclaimed(Member former, long view) {
        OrphanedShards orphan = new OrphanedShards(former, view);
        for (int shard = 0; shard < ShardPlacement.SHARDS; shard++) {
            orphan.owners.put(shard, NOBODY);
        }
        return orphan;
    }

    /** A copy of another registry's state. */
    static OrphanedShards restore(Member former, long view, Map<Integer, Long> owners,
            Map<Integer, List<Long>> previousOwners) {
        OrphanedShards orphan = new OrphanedShards(former, view);
        orphan.owners.putAll(owners);
        orphan.previousOwners.putAll(previousOwners);
        return orphan;
    }

    /** Whose calls they were. */
    public Member former() {
        return former;
    }

    /** The view by which the replicas of the calls are placed. */
    public long view() {
        return view;
    }

    /** Shards that are not completed, with the token of who has claimed each, or {@link #NOBODY}. */
    public Map<Integer, Long> owners() {
        return Collections.unmodifiableMap(owners);
    }

    /** The tokens of those that owned a shard and have gone in their turn, the first first. */
    public List<Long> previousOwners(int shard) {
        return previousOwners.getOrDefault(shard, List.of());
    }

    /** Whether a shard is not completed and nobody has claimed it. */
    boolean isUnclaimed(int shard) {
        Long owner = owners.get(shard);
        return owner != null && owner == NOBODY;
    }

    /** Whether nobody has claimed any shard. */
    boolean isUnclaimed() {
        return owners.values().stream().allMatch(owner -> owner == NOBODY);
    }

    /** Whether a member owns a shard that is not completed, or owned it and has gone. */
    boolean hasBeenOwnedBy(long token, int shard) {
        Long owner = owners.get(shard);
        return owner != null && (owner == token || previousOwners(shard).contains(token));
    }

    /** A member owns a shard from now on. What a former owner of it began is in that one's own records. */
    void assign(int shard, long token) {
        long before = owners.put(shard, token);
        if (before != NOBODY && before != token) {
            previousOwners.computeIfAbsent(shard, any -> new ArrayList<>()).add(before);
        }
    }

    /** A shard is completed, taken back or lost: nobody can claim it any more. */
    void remove(int shard) {
        owners.remove(shard);
    }

    /** Whether no shard is left. */
    boolean isEmpty() {
        return owners.isEmpty();
    }
}
