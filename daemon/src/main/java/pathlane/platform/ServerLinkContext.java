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
 * What the links to all session servers have in common.
 *
 * @param settings the call classes and their deadlines, and the idle timeout of connections
 * @param limits the limits of connections to one server
 * @param controller supplied late, since the controller creates its links itself
 * @param listCurrent whether the event bus would have reported by now that a server has begun to drain
 * @param connections the descriptors that all servers' connections share
 * @param reportPeriod the period of the servers' capacity reports
 * @param random spreads what the whole fleet would otherwise do at once
 * @param startedAt when the program started
 */
record ServerLinkContext(Settings settings, ServerLimits limits, Supplier<CallController> controller,
        BooleanSupplier listCurrent, Connector dialer, Scheduler scheduler, ConnectionLimiter connections,
        ReportPeriod reportPeriod, SplittableRandom random, Instant startedAt) {

    /** An idle connection is closed here after this part of the time after which the other side closes it. */
    private static final int IDLE_PERCENT = 90;

    Instant now() {
        return scheduler.now();
    }

    /** How long a connection may be idle before it is closed here. */
    Duration idleTimeout() {
        return settings.idleTimeout().multipliedBy(IDLE_PERCENT).dividedBy(100);
    }

    /** How long nothing may be received on a connection: two reports are awaited where their period is known. */
    Duration longestSilence() {
        Duration twoReports = reportPeriod.length().multipliedBy(2).plus(limits.linesVary());
        boolean isLonger = reportPeriod.isSeen() && twoReports.compareTo(limits.silence()) > 0;
        return isLonger ? twoReports : limits.silence();
    }
}
