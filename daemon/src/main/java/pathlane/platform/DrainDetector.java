package pathlane.platform;

import java.time.Duration;
import java.time.Instant;

/**
 * Suspects a server of draining before the server list says so, since the list may be late or not arrive at all, and nothing
 * new may be sent to a server that drains. Such a server still answers and ends its calls, and accepts connections for some
 * seconds more, but it stops reporting its capacity.
 */
final class DrainDetector {

    private final ServerLinkContext context;
    /** When the server last showed that it takes requests: by a capacity report, or by accepting its only connection. */
    private Instant lastAcceptingAt = Instant.MIN;
    private boolean hasReported;

    DrainDetector(ServerLinkContext context) {
        this.context = context;
    }

    /** The server has reported its capacity. */
    void capacityReported(Instant now) {
        hasReported = true;
        lastAcceptingAt = now;
    }

    /** The server has accepted a connection and is known not to have begun to drain before. */
    void connectionAccepted(Instant now) {
        lastAcceptingAt = now;
    }

    /** Whether the server, with connections open, has not reported its capacity for so long that it may be draining. */
    boolean mayBeDraining() {
        Duration period = context.reportPeriod().length();
        Duration allowed = context.isListCurrent().getAsBoolean()
                ? period.multipliedBy(3).dividedBy(2)
                : period.plus(context.limits().reportTransitVariation());
        return hasReported && lastAcceptingAt.plus(allowed).isBefore(context.now());
    }
}
