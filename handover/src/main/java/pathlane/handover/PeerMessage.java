package pathlane.handover;

import java.util.List;
import pathlane.core.CallEvent;

/** What members say to each other. Owners are named by the tokens of their leases. */
public sealed interface PeerMessage {

    /** All that an owner has in a slot, placed by this view; it takes the place of what was kept of it. */
    record Slot(long owner, long view, int slot, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** What changed since; {@code upTo} counts the owner's changes, those in other slots too. */
    record Changes(long owner, long upTo, List<Change> changes) implements PeerMessage {}

    /** All slots that this view gives the receiver have been sent, and its changes up to there. */
    record Placed(long owner, long view, long upTo) implements PeerMessage {}

    /** What an owner sent is kept up to there, and is whole as of that view. */
    record Kept(long owner, long upTo, long view) implements PeerMessage {}

    /** What is kept of a slot is asked for, by who has claimed it. */
    record Pull(long owner, int slot) implements PeerMessage {}

    /** What is kept of a slot: {@code upTo} says how far it goes, -1 that nothing is kept. */
    record Pulled(long owner, int slot, long upTo, List<CallRecord> records) implements PeerMessage {}

    /** Something happened to a call, and the receiver may act on it or know who does; an answer is due. */
    record Told(long ask, CallEvent event) implements PeerMessage {}

    /** Whether somebody sees to what was told. */
    record Known(long ask, boolean known) implements PeerMessage {}

    /** An owner whose lease has lapsed asks the receiver to drop its records, and never to act for it by them. */
    record Free(long owner) implements PeerMessage {}

    /** The receiver's word that it will not, or that it can't say so. */
    record Freed(long owner, boolean free) implements PeerMessage {}

    /** One change: a record that takes the place of the call's, or, where it is null, none any more. */
    record Change(String call, CallRecord record) {}
}
