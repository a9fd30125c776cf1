package pathlane.group;

import java.util.List;

/**
 * What the registry is asked to do. Each may be applied twice with the effect of once, so that one whose reply got lost is
 * submitted again.
 */
public sealed interface Command {

    /**
     * A call controller asks for a lease.
     *
     * @param previousToken the token that this process held before, or 0 after its start
     * @param replicaCount how many members are to hold a replica of a record; the same in the whole group
     * @param areReplicasDropped whether all replica holders of the last lease's records have said that they dropped them
     */
    record Join(String name, long incarnation, String address, long previousToken, int replicaCount,
            boolean areReplicasDropped) implements Command {}

    /** Leases go on. Gathered by the leader over a short span. */
    record Renew(List<Renewal> renewals) implements Command {}

    /** One lease goes on; the number grows with each renewal. */
    record Renewal(long token, long number) {}

    /** A planned end: whatever is left may be claimed at once. */
    record Leave(long token) implements Command {}

    /** The leader has not seen this lease renewed for so long that it has surely ended; void if it was renewed since. */
    record Expire(long token, long number) implements Command {}

    /** All of a member's records are where this view places them. */
    record Replicated(long token, long view) implements Command {}

    /** A member wants to own shards of one that has gone; {@code orphan} is that one's token. */
    record Claim(long claimer, long orphan, List<Integer> shards) implements Command {}

    /**
     * The process whose lease ended has a new one, and takes back what nobody has claimed: nobody can from then on.
     *
     * @param token its new lease
     * @param former the one that has ended
     */
    record Reclaim(long token, long former, List<Integer> shards) implements Command {}

    /** Claimed shards' calls are in the claimer's own records now: the former owner's can be dropped. */
    record Complete(long claimer, long orphan, List<Integer> shards) implements Command {}
}
