package pathlane.handover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** What one replica holder is sent of an owner's records, and how much of it it has acknowledged. On the loop's thread. */
final class ReplicaFeed {

    private static final long NOTHING = -1;

    private BitSet shards = new BitSet();
    /** Shards that were sent whole on the connection that is up. */
    private final BitSet sentShards = new BitSet();
    private final List<PeerMessage.Change> unsentChanges = new ArrayList<>();
    private long acknowledgedUpTo = NOTHING;
    /** The last change that concerned this holder. */
    private long lastChange;
    private long acknowledgedView;
    private long announcedView;

    /** The holder is wanted for these shards from now on. */
    void place(BitSet wanted) {
        shards = wanted;
        sentShards.and(wanted);
    }

    boolean isFor(int shard) {
        return shards.get(shard);
    }

    boolean hasSent(int shard) {
        return sentShards.get(shard);
    }

    /** The shards that have not been sent on this connection; they count as sent from now on. */
    BitSet takeUnsentShards() {
        BitSet unsent = (BitSet) shards.clone();
        unsent.andNot(sentShards);
        sentShards.or(shards);
        return unsent;
    }

    void addChange(PeerMessage.Change change, long number) {
        unsentChanges.add(change);
        lastChange = number;
    }

    /** The changes that wait to be sent; they count as sent from now on. */
    List<PeerMessage.Change> takeUnsentChanges() {
        List<PeerMessage.Change> changes = new ArrayList<>(unsentChanges);
        unsentChanges.clear();
        return changes;
    }

    /** Whether the holder has yet to be told that it has all of a view; it counts as told from now on. */
    boolean announce(long view, long upTo) {
        boolean isNew = announcedView != view;
        if (isNew) {
            announcedView = view;
            lastChange = upTo;
        }
        return isNew;
    }

    /** Nothing was sent on the connection, or the holder has dropped what was. */
    void restart() {
        sentShards.clear();
        unsentChanges.clear();
        announcedView = 0;
    }

    /** The holder has dropped what it had acknowledged. */
    void clearAcknowledged() {
        acknowledgedUpTo = NOTHING;
        acknowledgedView = 0;
    }

    void acknowledged(long upTo, long view) {
        acknowledgedUpTo = Math.max(acknowledgedUpTo, upTo);
        acknowledgedView = Math.max(acknowledgedView, view);
    }

    /** Whether the holder has said that it has all of a view, or a later one. */
    boolean hasView(long view) {
        return acknowledgedView >= view;
    }

    /** Whether the holder has all changes up to this one. */
    boolean has(long change) {
        return acknowledgedUpTo >= change;
    }

    /** Whether the holder has all that concerns it. */
    boolean isUpToDate() {
        return unsentChanges.isEmpty() && has(lastChange);
    }
}
