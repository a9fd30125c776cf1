package pathlane.config.file;

import java.time.Duration;

/**
 * Limits and timeouts for connections to a session server.
 *
 * @param maxConnections maximum number to one server
 * @param messageTimeout how long a message may take from its first byte to its last
 * @param overtakenAfter a call request counts as lost if its connection has been silent since and a request sent this much
 *        later is answered on another connection: servers process requests in order
 * @param maxWaitingReleases maximum number of releases that wait for a connection to one server
 * @param maxWaitingUnknownReleases maximum number of releases of unknown calls that wait for a connection to one server
 * @param silenceTimeout servers send capacity reports (free slots) continuously; after this long without any message, and
 *        two report periods, a connection may be dead
 * @param maxReportPeriod maximum period of capacity reports. A server without a report for one and a half of its observed
 *        period may have begun to drain. The event bus may announce the drain over a second after it takes effect, and one
 *        second after it takes effect no new request may be sent there
 * @param maxFirstReportPeriod upper bound for the period estimate while only one interval between two reports has been
 *        observed
 * @param reportTransitVariation allowed variation of a report's transit time. While the event bus is silent, a server
 *        without a report for a period plus this may be draining: its last report may have been sent just before the drain
 *        was announced, after which new requests are allowed for one more second
 * @param unreachableTimeout a server unreachable for this long is assumed to have lost its calls: their release must be
 *        reported to clients within 8 s
 * @param firstReportTimeout how long to wait, in that case, for a server's first capacity report on a new connection
 */
public record ServerLimits(int maxConnections, Duration messageTimeout, Duration overtakenAfter, int maxWaitingReleases,
        int maxWaitingUnknownReleases, Duration silenceTimeout, Duration maxReportPeriod, Duration maxFirstReportPeriod,
        Duration reportTransitVariation,
        Duration firstReportTimeout, Duration unreachableTimeout) {

    public static final ServerLimits DEFAULT = new ServerLimits(4, Duration.ofSeconds(1), Duration.ofMillis(100),
            10_000, 64, Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofMillis(2500),
            Duration.ofMillis(20), Duration.ofMillis(150), Duration.ofSeconds(7));
}
