package pathlane.platform;

import java.time.Duration;

/**
 * How often session servers tell their lines. No setting says it, so it is learnt from all servers together: of two waits
 * in a row on one connection the shorter counts, so that one that was drawn out by a stall or a broken path does not. On
 * the loop's thread.
 */
final class LinesPeriod {

    /** Up to this part of the least beyond it, what is seen is the least and chance. */
    private static final double CHANCE = 0.25;

    private final Duration least;
    private final Duration mostOfFirst;
    private Duration learnt;
    private boolean sure;

    /**
     * Starts without having seen any: the least is taken then.
     *
     * @param least no period counts as shorter
     * @param mostOfFirst the most that a first wait alone can say
     */
    LinesPeriod(Duration least, Duration mostOfFirst) {
        this.least = least;
        this.mostOfFirst = mostOfFirst;
    }

    /** Lines were told this long after the last time on a connection; {@code before} is the wait before, or null. */
    void told(Duration wait, Duration before) {
        if (before != null) {
            learnt = wait.compareTo(before) < 0 ? wait : before;
            sure = true;
        } else if (!sure) {
            learnt = wait.compareTo(mostOfFirst) < 0 ? wait : mostOfFirst;
        }
    }

    /** Whether a whole wait was seen on any connection. */
    boolean isSeen() {
        return learnt != null;
    }

    /** The period by which servers are judged. */
    Duration length() {
        return learnt == null || learnt.toNanos() <= least.toNanos() * (1 + CHANCE) ? least : learnt;
    }
}
