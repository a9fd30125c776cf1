package pathlane.discovery;

import java.util.Comparator;

/**
 * A position in the history of a catalogue. Revisions of one catalogue are totally ordered.
 *
 * @param epoch identifies the start of the source that wrote the revision; each start has a greater epoch than all earlier
 *              ones
 * @param number counts the source's changes within the epoch, from 1
 */
public record Revision(long epoch, long number) implements Comparable<Revision> {

    /** Precedes the first revision of any source: the revision of content that was never received. */
    public static final Revision NONE = new Revision(0, 0);

    private static final Comparator<Revision> ORDER =
            Comparator.comparingLong(Revision::epoch).thenComparingLong(Revision::number);

    @Override
    public int compareTo(Revision other) {
        return ORDER.compare(this, other);
    }

    /** Whether this revision is later than the other. */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }

    /** The next revision of the same epoch. */
    public Revision next() {
        return new Revision(epoch, number + 1);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
