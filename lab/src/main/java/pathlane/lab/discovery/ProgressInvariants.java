package pathlane.lab.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pathlane.discovery.ProgressReport;
import pathlane.discovery.Revision;

/**
 * Invariants of the progress that the source reports. A controller that has moved to another relay may still be counted at
 * its former one until that relay, and those above it, have detected the closed connection. The count is therefore bounded
 * by the connections that publishers may still know of, and by the controllers themselves after long enough without faults.
 */
final class ProgressInvariants {

    private final DiscoveryFleet fleet;
    private final Violations violations;
    /** How long a closed connection may still be counted: until the delayed reports of two tiers have arrived. */
    private final Duration countedAfterClose;

    ProgressInvariants(DiscoveryFleet fleet, Violations violations) {
        this.fleet = fleet;
        this.violations = violations;
        this.countedAfterClose = fleet.shape().terms().acknowledgeTimeout().plusSeconds(4);
    }

    /** Checks the current report at the source. */
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
            long known = knownControllers(fleet.source(), fleet.source().incarnation(), revision);
            if (counted > known) {
                violations.report("source", "counts " + counted + " controllers at " + revision + ", of " + known
                        + " that had it in force: " + report);
            }
        }
    }

    /** Checks the report at the source in a fleet that has been without faults for long enough. */
    void checkUndisturbed() {
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

    /** Counts the controllers that a publisher's incarnation may know of and that ever had the revision in force. */
    private long knownControllers(FleetProcess publisher, int incarnation, Revision revision) {
        Instant since = fleet.virtualTime().now().minus(countedAfterClose);
        Set<String> seen = new HashSet<>();
        long known = 0;
        for (ObservedLink link : fleet.links(publisher, incarnation)) {
            boolean mayCount = link.isAccepted() && link.publisherClosedAt().isAfter(since);
            String subscriber = link.subscriber instanceof RelayProcess ? link.subscriber + "#" + link.subscriberIncarnation
                    : link.subscriber.name();
            if (!mayCount || !seen.add(subscriber)) {
                continue;
            }
            if (link.subscriber instanceof ControllerProcess controller) {
                known += revision.isAfter(controller.highestInForce()) ? 0 : 1;
            } else {
                known += knownControllers(link.subscriber, link.subscriberIncarnation, revision);
            }
        }
        return known;
    }
}
