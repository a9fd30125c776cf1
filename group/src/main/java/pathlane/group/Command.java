package pathlane.group;

import java.util.List;

/** A command to the registry. All commands are idempotent, so one whose reply was lost can be submitted again. */
public sealed interface Command {

    /**
     * Requests a lease for a call controller.
     *
     * @param previousToken the latest token of this process, or 0 after its start
     * @param replicaCount the number of replica holders of a record; the same in the entire group
     * @param areReplicasDropped whether all replica holders of the previous lease have confirmed dropping its records
     */
    record Join(String name, long incarnation, String address, long previousToken, int replicaCount,
            boolean areReplicasDropped) implements Command {}

    /** Renews leases. The leader batches the renewals of a short interval into one command. */
    record Renew(List<Renewal> renewals) implements Command {}

    /** The renewal of one lease; the number increases with each renewal. */
    record Renewal(long token, long renewalNumber) {}

    /** Ends a lease on request of its holder; the remaining shards may be claimed at once. */
    record Leave(long token) implements Command {}

    /** Ends a lease that the leader has not seen renewed in time; no effect if its renewal number differs by now. */
    record Expire(long token, long renewalNumber) implements Command {}

    /** Reports that all records of a member are replicated where this view places them. */
    record Replicated(long token, long viewNumber) implements Command {}

    /** Claims orphaned shards for a member; the second token is that of their former owner. */
    record Claim(long claimerToken, long formerToken, List<Integer> shards) implements Command {}

    /**
     * Reclaims the unclaimed shards of an ended lease for the same process under its new lease; no member can claim them
     * from then on.
     *
     * @param token the token of the new lease
     * @param formerToken the token of the lease that has ended
     */
    record Reclaim(long token, long formerToken, List<Integer> shards) implements Command {}

    /** Reports that the calls of claimed shards are in the claimer's own records: the former owner's can be dropped. */
    record Complete(long claimerToken, long formerToken, List<Integer> shards) implements Command {}
}
