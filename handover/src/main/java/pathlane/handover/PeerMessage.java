package pathlane.handover;

import java.util.List;
import pathlane.core.CallEvent;

/** The messages between members. An owner is identified by the token of its lease. */
public sealed interface PeerMessage {

    /**
     * A snapshot of all records that an owner has in a shard, placed by this view; it replaces the receiver's replica of the
     * shard.
     */
    record ShardSnapshot(long owner, long view, int shard, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** The changes since the last message; {@code upTo} counts the owner's changes, including those in other shards. */
    record Changes(long owner, long upTo, List<Change> changes) implements PeerMessage {}

    /** All shards that this view assigns to the receiver have been sent, with the owner's changes up to this number. */
    record ViewReplicated(long owner, long view, long upTo) implements PeerMessage {}

    /** The receiver has the owner's changes up to this number, and all shards of the view. */
    record Acknowledged(long owner, long upTo, long view) implements PeerMessage {}

    /** The member that has claimed a shard requests the receiver's replica of it. */
    record FetchShard(long owner, int shard) implements PeerMessage {}

    /** The replica of a shard, with the owner's changes up to {@code upTo}; -1 if there is no replica. */
    record ShardFetched(long owner, int shard, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** An event of a call on which the receiver may act or whose acting member it may know; a reply is expected. */
    record EventReport(long requestId, CallEvent event) implements PeerMessage {}

    /** Whether the reported event is handled, or stored until it is. */
    record EventReply(long requestId, boolean isHandled) implements PeerMessage {}

    /** An owner whose lease has lapsed asks the receiver to drop its replicas and never to act on them. */
    record DropReplicas(long owner) implements PeerMessage {}

    /** Whether the receiver has dropped the replicas and will not act on them; false if it can't rule that out. */
    record ReplicasDropped(long owner, boolean isDropped) implements PeerMessage {}

    /** One change: the call's new record, or null if the call has none any more. */
    record Change(String callId, CallRecord record) {}
}
