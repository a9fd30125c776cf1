package pathlane.handover;

import java.util.List;
import pathlane.core.CallEvent;

/** The messages between members. Owners are named by the tokens of their leases. */
public sealed interface PeerMessage {

    /** All records that an owner has in a shard, placed by this view; they replace what the receiver had of it. */
    record ShardSnapshot(long owner, long view, int shard, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** What changed since; {@code upTo} counts the owner's changes, those in other shards too. */
    record Changes(long owner, long upTo, List<Change> changes) implements PeerMessage {}

    /** All shards that this view gives the receiver have been sent, and the owner's changes up to this one. */
    record ViewReplicated(long owner, long view, long upTo) implements PeerMessage {}

    /** The receiver of an owner's records has its changes up to this one, and all of the view. */
    record Acknowledged(long owner, long upTo, long view) implements PeerMessage {}

    /** Who has claimed a shard asks for the replica of it. */
    record FetchShard(long owner, int shard) implements PeerMessage {}

    /** The replica of a shard: {@code upTo} says how far it goes, -1 that there is none. */
    record ShardFetched(long owner, int shard, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** Something happened to a call, and the receiver may act on it or know who does; a reply is due. */
    record EventReport(long requestId, CallEvent event) implements PeerMessage {}

    /** Whether the reported event is handled, or stored until it is. */
    record EventReply(long requestId, boolean isHandled) implements PeerMessage {}

    /** An owner whose lease has lapsed asks the receiver to drop its records, and never to act for it by them. */
    record DropReplicas(long owner) implements PeerMessage {}

    /** The receiver has dropped them and will not, or it can't say so. */
    record ReplicasDropped(long owner, boolean isDropped) implements PeerMessage {}

    /** One change: a record that replaces the call's, or, where it is null, none any more. */
    record Change(String callId, CallRecord record) {}
}
