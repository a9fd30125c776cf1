package pathlane.lab.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pathlane.discovery.ProgressReport;
import pathlane.discovery.Revision;

/**
 * What must hold of the progress that the source reports. A controller that has moved may be counted at its former relay
 * until that relay, and those above it, have noticed; so the count is bounded by the connections that publishers may still
 * know of. Once nothing has gone wrong for long enough, it is bounded by the controllers themselves.
 */
final class ProgressInvariants {

    private final DiscoveryFleet fleet;
    private final Violations violations;
    /** How long after its end a connection may count: until the reports of two tiers have gone up and been late. */
    private final Duration afterwards;

    ProgressInvariants(DiscoveryFleet fleet, Violations violations) {
        this.fleet = fleet;
        this.violations = violations;
        this.afterwards = fleet.shape().terms().deadAfter().plusSeconds(4);
    }

    /** Checks the report at the source now. */
    void check() {
        if (!fleet.source().isRunning()) {
            return;
        }
        ProgressReport report = fleet.source().source().publisher().progress();
        long counted = 0;
        List<ProgressReport.Level> levels = report.levels();
        for (int i = levels.size() - 1; i >= 0; i--) {
            Revision revision = levels.get(i).inForce();
            counted += levels.get(i).controllers();
            long known = known(fleet.source(), fleet.source().life(), revision);
            if (counted > known) {
                violations.report("source", "counts " + counted + " controllers at " + revision + ", of " + known
                        + " that had it in force: " + report);
            }
        }
    }

    /** Checks the report at the source in a fleet in which nothing has gone wrong for long enough. */
    void checkCalm() {
        ProgressReport report = fleet.source().source().publisher().progress();
        long counted = 0;
        List<ProgressReport.Level> levels = report.levels();
        for (int i = levels.size() - 1; i >= 0; i--) {
            Revision revision = levels.get(i).inForce();
            counted += levels.get(i).controllers();
            long inForce = fleet.controllers().stream()
                    .filter(one -> !revision.isAfter(one.client().inForce())).count();
            if (counted > inForce) {
                violations.report("source", "counts " + counted + " controllers at " + revision + ", " + inForce
                        + " have it in force: " + report);
            }
        }
    }

    /** Controllers below a life of a publisher, as far as it may know, that ever had the revision in force. */
    private long known(FleetProcess publisher, int life, Revision revision) {
        Instant since = fleet.world().now().minus(afterwards);
        Set<String> seen = new HashSet<>();
        long known = 0;
        for (ObservedLink link : fleet.links(publisher, life)) {
            boolean mayCount = link.isAccepted() && link.publisherClosedAt().isAfter(since);
            String subscriber = link.subscriber instanceof RelayProcess ? link.subscriber + "#" + link.subscriberLife
                    : link.subscriber.name();
            if (!mayCount || !seen.add(subscriber)) {
                continue;
            }
            if (link.subscriber instanceof ControllerProcess controller) {
                known += revision.isAfter(controller.greatestInForce()) ? 0 : 1;
            } else {
                known += known(link.subscriber, link.subscriberLife, revision);
            }
        }
        return known;
    }
}
