package pathlane.lab.discovery;

import java.util.Optional;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;

/** Invariants of a controller, checked whenever a change comes into force and after each message. */
final class ControllerInvariants {

    private final SourceHistory history;
    private final Violations violations;

    ControllerInvariants(SourceHistory history, Violations violations) {
        this.history = history;
        this.violations = violations;
    }

    /** Checks a state that came into force: its revision is not older, its content is the source's at that revision. */
    void changed(ControllerProcess controller, ServiceState state, Revision before, int sizeBefore) {
        String service = state.service();
        if (before.isAfter(state.revision())) {
            violations.report(controller.name(), service + " goes back from " + before + " to " + state.revision());
        }
        if (!state.endpoints().equals(controller.servers(service))) {
            violations.report(controller.name(), service + " at " + state.revision() + " differs from the reported changes");
        }
        if (state.digest() != ServiceDigest.of(state.endpoints(), state.configuration())) {
            violations.report(controller.name(), service + " at " + state.revision() + " does not match its digest");
        }
        Optional<ServiceState> published = history.at(service, state.revision());
        if (published.isEmpty() || !isSameContent(published.get(), state)) {
            violations.report(controller.name(), service + " at " + state.revision() + " is " + state
                    + " and the source had " + published);
        }
        if (state.endpoints().size() * 2 < sizeBefore && history.isPartial(service, state.revision())) {
            violations.report(controller.name(), service + " loses more than half of its servers at " + state.revision()
                    + " at which the source was still loading it");
        }
    }

    /** Checks a removed service: the source did not have it at that revision, and its catalogue was complete. */
    void absent(ControllerProcess controller, String service, Revision revision, Revision before) {
        if (before.isAfter(revision)) {
            violations.report(controller.name(), service + " goes back from " + before + " to absent at " + revision);
        }
        if (history.at(service, revision).isPresent()) {
            violations.report(controller.name(), service + " is absent at " + revision + " where the source had it");
        }
        if (!history.isComplete(revision.epoch())) {
            violations.report(controller.name(), service + " is absent at " + revision
                    + " of a source that was never complete");
        }
    }

    /** Checks that a change which follows the held revision is in force once its message has been handled. */
    void handled(ControllerProcess controller, ServiceChange change, Revision before, Optional<PublisherStatus> status) {
        String service = change.service();
        boolean isComplete = status.isPresent() && status.get().complete();
        boolean follows = change instanceof ServiceChange.Delta delta ? delta.from().equals(before)
                : isComplete && change.revision().isAfter(before);
        if (!controller.isRunning() || !controller.watched().contains(service) || !follows) {
            return;
        }
        if (change.revision().isAfter(controller.revision(service))) {
            violations.report(controller.name(), "did not apply " + service + " at " + change.revision() + " which follows "
                    + before);
        }
        if (change instanceof ServiceChange.Delta delta) {
            checkWithdrawn(controller, delta);
        }
    }

    /** Checks a reported in-force revision: the controller holds each service as of that revision, or newer. */
    void inForce(ControllerProcess controller, Revision revision) {
        for (String service : controller.watched()) {
            Optional<ServiceState> published = history.at(service, revision);
            boolean isHeld = published.isPresent() ? !published.get().revision().isAfter(controller.revision(service))
                    : controller.revision(service).isAfter(revision) || controller.servers(service).isEmpty();
            if (!isHeld) {
                violations.report(controller.name(), "reports that " + revision + " is in force, but has " + service + " at "
                        + controller.revision(service) + " where the source had " + published);
            }
        }
    }

    private void checkWithdrawn(ControllerProcess controller, ServiceChange.Delta delta) {
        delta.removed().forEach(server -> checkNotSelectable(controller, delta, server));
        delta.upserted().stream().filter(endpoint -> endpoint.status() == ServerStatus.DRAINING).map(ServerEndpoint::id)
                .forEach(server -> checkNotSelectable(controller, delta, server));
    }

    private void checkNotSelectable(ControllerProcess controller, ServiceChange.Delta delta, long server) {
        boolean isNewer = controller.revision(delta.service()).isAfter(delta.revision());
        if (!isNewer && controller.wouldSendTo(delta.service(), server)) {
            violations.report(controller.name(), "would send to server " + server + " of " + delta.service()
                    + " after its removal at " + delta.revision());
        }
    }

    static boolean isSameContent(ServiceState one, ServiceState other) {
        return one.digest() == other.digest() && one.endpoints().equals(other.endpoints())
                && one.configuration().equals(other.configuration());
    }
}
