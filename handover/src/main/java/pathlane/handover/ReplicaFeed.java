package pathlane.handover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * What one replica holder is sent of an owner's records, and how much it has acknowledged. Confined to the event loop
 * thread.
 */
final class ReplicaFeed {

    private static final long NO_CHANGE = -1;

    private BitSet assignedShards = new BitSet();
    /** Shards of which a snapshot was sent on the current connection. */
    private final BitSet sentShards = new BitSet();
    private final List<PeerMessage.Change> unsentChanges = new ArrayList<>();
    private long acknowledgedUpTo = NO_CHANGE;
    /** The number of the last change that concerned this replica holder. */
    private long lastChange;
    private long acknowledgedView;
    private long announcedView;

    /** Assigns the shards that the replica holder is to have. */
    void assignShards(BitSet newShards) {
        assignedShards = newShards;
        sentShards.and(newShards);
    }

    boolean isAssigned(int shard) {
        return assignedShards.get(shard);
    }

    boolean hasSent(int shard) {
        return sentShards.get(shard);
    }

    /** Returns the shards that were not sent on this connection; they count as sent from now on. */
    BitSet takeUnsentShards() {
        BitSet unsent = (BitSet) assignedShards.clone();
        unsent.andNot(sentShards);
        sentShards.or(assignedShards);
        return unsent;
    }

    void addChange(PeerMessage.Change change, long number) {
        unsentChanges.add(change);
        lastChange = number;
    }

    /** Returns the changes that wait to be sent; they count as sent from now on. */
    List<PeerMessage.Change> takeUnsentChanges() {
        List<PeerMessage.Change> changes = new ArrayList<>(unsentChanges);
        unsentChanges.clear();
        return changes;
    }

    /** Whether a view has yet to be announced as complete to the replica holder; it counts as announced from now on. */
    boolean announce(long view, long upTo) {
        boolean isNew = announcedView != view;
        if (isNew) {
            announcedView = view;
            lastChange = upTo;
        }
        return isNew;
    }

    /** Nothing was sent on the connection, or the replica holder has dropped what was. */
    void restart() {
        sentShards.clear();
        unsentChanges.clear();
        announcedView = 0;
    }

    /** The replica holder has dropped what it had acknowledged. */
    void clearAcknowledged() {
        acknowledgedUpTo = NO_CHANGE;
        acknowledgedView = 0;
    }

    void acknowledged(long upTo, long view) {
        acknowledgedUpTo = Math.max(acknowledgedUpTo, upTo);
        acknowledgedView = Math.max(acknowledgedView, view);
    }

    /** Whether the replica holder has acknowledged this view or a later one. */
    boolean hasView(long view) {
        return acknowledgedView >= view;
    }

    /** Whether the replica holder has acknowledged all changes up to this one. */
    boolean hasChange(long change) {
        return acknowledgedUpTo >= change;
    }

    /** Whether the replica holder has acknowledged all changes that concern it. */
    boolean isUpToDate() {
        return unsentChanges.isEmpty() && hasChange(lastChange);
    }
}
