package pathlane.platform;

import java.time.Duration;
import java.time.Instant;

/** Measures the intervals between the capacity reports on one connection and adds them to the estimate for all servers. */
final class ReportIntervals {

    private final ReportPeriod period;
    private boolean hasStarted;
    /** When the last report was received; null until the second, as the first may come at any time after the connection. */
    private Instant lastReportAt;
    private Duration lastInterval;

    ReportIntervals(ReportPeriod period) {
        this.period = period;
    }

    /** Records a report received now. */
    void reported(Instant now) {
        if (lastReportAt != null) {
            Duration interval = Duration.between(lastReportAt, now);
            period.reported(interval, lastInterval);
            lastInterval = interval;
        }
        lastReportAt = hasStarted ? now : null;
        hasStarted = true;
    }

    /** Whether any report has been received on this connection. */
    boolean hasStarted() {
        return hasStarted;
    }
}
