package pathlane.platform;

import java.time.Duration;

/**
 * Estimates the period of session servers' capacity reports. No setting states it, so it is measured over all servers
 * together: the shorter of two consecutive intervals on one connection, so that a single interval that was lengthened by a
 * stall or a broken path does not count. On the loop's thread.
 */
final class ReportPeriod {

    /** A measured interval that exceeds the minimum by up to this fraction is attributed to jitter. */
    private static final double JITTER_TOLERANCE = 0.25;

    private final Duration minPeriod;
    private final Duration maxOfFirstInterval;
    private Duration measured;
    private boolean hasTwoIntervals;

    /**
     * Creates an estimate without measurements, which is the minimum period.
     *
     * @param minPeriod the shortest period assumed
     * @param maxOfFirstInterval the longest period assumed while only single intervals have been measured
     */
    ReportPeriod(Duration minPeriod, Duration maxOfFirstInterval) {
        this.minPeriod = minPeriod;
        this.maxOfFirstInterval = maxOfFirstInterval;
    }

    /** Adds the interval between two reports on one connection; {@code previous} is the interval before it, or null. */
    void reported(Duration interval, Duration previous) {
        if (previous != null) {
            measured = interval.compareTo(previous) < 0 ? interval : previous;
            hasTwoIntervals = true;
        } else if (!hasTwoIntervals) {
            measured = interval.compareTo(maxOfFirstInterval) < 0 ? interval : maxOfFirstInterval;
        }
    }

    /** Whether at least one interval has been measured on any connection. */
    boolean hasMeasurement() {
        return measured != null;
    }

    /** The estimated period. */
    Duration length() {
        return measured == null || measured.toNanos() <= minPeriod.toNanos() * (1 + JITTER_TOLERANCE) ? minPeriod : measured;
    }
}
