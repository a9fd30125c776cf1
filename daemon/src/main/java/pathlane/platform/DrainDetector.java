package pathlane.platform;

import java.time.Duration;
import java.time.Instant;

/**
 * Suspects a server of draining before the list says so. Guards rule three against a list that comes too late or not at
 * all: a server that drains goes on answering and ending its calls, and accepts connections for some seconds more, but it
 * reports no capacity.
 */
final class DrainDetector {

    private final ServerLinkContext context;
    /** When the server last showed that it accepts set-ups: by a capacity report, or by accepting the only connection. */
    private Instant acceptedAt = Instant.MIN;
    private boolean hasReported;

    DrainDetector(ServerLinkContext context) {
        this.context = context;
    }

    /** The server has reported its capacity. */
    void reported(Instant now) {
        hasReported = true;
        acceptedAt = now;
    }

    /** The server has accepted a connection, and is known not to have begun to drain before. */
    void accepted(Instant now) {
        acceptedAt = now;
    }

    /** Whether the server, with connections up, has been without a capacity report for so long that it may be draining. */
    boolean mayBeDraining() {
        Duration period = context.reportPeriod().length();
        Duration allowed = context.listCurrent().getAsBoolean()
                ? period.multipliedBy(3).dividedBy(2)
                : period.plus(context.limits().linesVary());
        return hasReported && acceptedAt.plus(allowed).isBefore(context.now());
    }
}
