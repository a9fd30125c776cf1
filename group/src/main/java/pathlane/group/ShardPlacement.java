package pathlane.group;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Places the replicas of call records on members by rendezvous hashing (Thaler and Ravishankar, 1998) of shards and member
 * names, so that a member that joins or leaves moves only its own share, and the calls of one controller are spread over
 * all others. Pure: the same members give the same placement everywhere.
 */
public final class ShardPlacement {

    /** The number of shards. Calls are placed by shard, and each orphaned shard is claimed separately. */
    public static final int SHARD_COUNT = 256;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private ShardPlacement() {}

    /** The shard of a call, from 0 to {@link #SHARD_COUNT} - 1. */
    public static int shardOf(String callId) {
        return (int) Long.remainderUnsigned(HASHER.hashCharsToLong(callId), SHARD_COUNT);
    }

    /**
     * The members that hold the replicas of an owner's shard, the first successor first.
     *
     * @param members the members of one view
     * @param ownerToken the token of the member that owns the calls; it is never one of their replica holders
     * @param replicaCount the number of replica holders; fewer are returned where there are fewer members
     */
    public static List<Member> replicaHolders(int shard, List<Member> members, long ownerToken, int replicaCount) {
        record Scored(Member member, long score) {}
        List<Scored> scored = new ArrayList<>(members.size());
        for (Member member : members) {
            if (member.token() != ownerToken) {
                scored.add(new Scored(member, HASHER.hashStream().putInt(shard).putString(member.name()).getAsLong()));
            }
        }
        scored.sort(Comparator.comparingLong(Scored::score).reversed().thenComparing(entry -> entry.member.token()));
        return scored.stream().limit(replicaCount).map(Scored::member).toList();
    }
}
