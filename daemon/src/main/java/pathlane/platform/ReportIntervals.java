package pathlane.platform;

import java.time.Duration;
import java.time.Instant;

/** Measures the intervals between the capacity reports on one connection and adds them to what is known of all servers. */
final class ReportIntervals {

    private final ReportPeriod period;
    private boolean started;
    /** When the last report came, or null until the second: the first comes with the connection, at any time. */
    private Instant lastAt;
    private Duration lastInterval;

    ReportIntervals(ReportPeriod period) {
        this.period = period;
    }

    /** A report has come. */
    void reported(Instant now) {
        if (lastAt != null) {
            Duration interval = Duration.between(lastAt, now);
            period.reported(interval, lastInterval);
            lastInterval = interval;
        }
        lastAt = started ? now : null;
        started = true;
    }

    /** Whether any report has come on this connection. */
    boolean hasStarted() {
        return started;
    }
}
