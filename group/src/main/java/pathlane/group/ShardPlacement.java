package pathlane.group;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which members keep the records of which calls: rendezvous hashing (Thaler and Ravishankar, 1998) of shards over names,
 * so that a member that goes or comes moves only its own share, and a call controller's calls are spread over all the
 * others. Pure: the same members give the same places everywhere.
 */
public final class ShardPlacement {

    /** Calls are placed by shard; each shard of a member that has gone is claimed by itself. */
    public static final int SHARDS = 256;

    private static final Hasher64 HASH = Hashing.komihash5_0();

    private ShardPlacement() {}

    /** The shard of a call, from 0 to {@link #SHARDS} less one. */
    public static int shardOf(String call) {
        return (int) Long.remainderUnsigned(HASH.hashCharsToLong(call), SHARDS);
    }

    /**
     * The members that keep a shard's records for an owner, first the one that is to take over.
     *
     * @param members those of one view
     * @param owner the token of the member whose calls they are; it is none of its own holders
     * @param copies how many keep a record; fewer where there are fewer members
     */
    public static List<Member> replicaHolders(int shard, List<Member> members, long owner, int copies) {
        record Scored(Member member, long score) {}
        List<Scored> scored = new ArrayList<>(members.size());
        for (Member member : members) {
            if (member.token() != owner) {
                scored.add(new Scored(member, HASH.hashStream().putInt(shard).putString(member.name()).getAsLong()));
            }
        }
        scored.sort(Comparator.comparingLong(Scored::score).reversed().thenComparing(one -> one.member.token()));
        return scored.stream().limit(copies).map(Scored::member).toList();
    }
}
