package pathlane.platform;

import java.time.Duration;

/**
 * The period of session servers' capacity reports. No setting states it, so it is measured over all servers together: of two
 * consecutive intervals on one connection the shorter counts, so that one that a stall or a broken path drew out does not.
 * On the loop's thread.
 */
final class ReportPeriod {

    /** Up to this part beyond the least, a measured interval is taken for the least and chance. */
    private static final double CHANCE = 0.25;

    private final Duration least;
    private final Duration mostOfFirst;
    private Duration measured;
    private boolean isMeasured;

    /**
     * Starts without a measurement: the least is taken then.
     *
     * @param least no period counts as shorter
     * @param mostOfFirst the most that a first interval alone can say
     */
    ReportPeriod(Duration least, Duration mostOfFirst) {
        this.least = least;
        this.mostOfFirst = mostOfFirst;
    }

    /** A report came this long after the last one on its connection; {@code before} is the interval before, or null. */
    void reported(Duration interval, Duration before) {
        if (before != null) {
            measured = interval.compareTo(before) < 0 ? interval : before;
            isMeasured = true;
        } else if (!isMeasured) {
            measured = interval.compareTo(mostOfFirst) < 0 ? interval : mostOfFirst;
        }
    }

    /** Whether a whole interval was measured on any connection. */
    boolean isSeen() {
        return measured != null;
    }

    /** The period by which servers are judged. */
    Duration length() {
        return measured == null || measured.toNanos() <= least.toNanos() * (1 + CHANCE) ? least : measured;
    }
}
