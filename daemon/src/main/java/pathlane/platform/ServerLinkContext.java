package pathlane.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import pathlane.config.Settings;
import pathlane.config.file.ServerLimits;
import pathlane.core.CallController;
import pathlane.core.Scheduler;
import pathlane.transport.ConnectionLimiter;
import pathlane.transport.Connector;

/**
 * Shared by the links to all session servers.
 *
 * @param settings the call classes with their deadlines, and the idle timeout of connections
 * @param limits the limits of connections to one server
 * @param controller supplied lazily, since the controller itself creates the links
 * @param isListCurrent whether the event bus would have reported by now that a server has begun to drain
 * @param connectionLimiter the limit of connections to all servers together, each of which takes a descriptor
 * @param reportPeriod the measured period of the servers' capacity reports
 * @param random adds jitter to actions that the fleet would otherwise take all at once
 * @param startedAt when the program started
 */
record ServerLinkContext(Settings settings, ServerLimits limits, Supplier<CallController> controller,
        BooleanSupplier isListCurrent, Connector connector, Scheduler scheduler, ConnectionLimiter connectionLimiter,
        ReportPeriod reportPeriod, SplittableRandom random, Instant startedAt) {

    /** Percentage of the other side's idle timeout after which this side closes an idle connection. */
    private static final int IDLE_TIMEOUT_PERCENT = 90;

    Instant now() {
        return scheduler.now();
    }

    /** How long a connection may be idle before this side closes it. */
    Duration idleTimeout() {
        return settings.idleTimeout().multipliedBy(IDLE_TIMEOUT_PERCENT).dividedBy(100);
    }

    /** How long a connection may receive nothing: at least two report periods, where the period is known. */
    Duration silenceTimeout() {
        Duration twoReports = reportPeriod.length().multipliedBy(2).plus(limits.reportTransitVariation());
        boolean isLonger = reportPeriod.hasMeasurement() && twoReports.compareTo(limits.silenceTimeout()) > 0;
        return isLonger ? twoReports : limits.silenceTimeout();
    }
}
