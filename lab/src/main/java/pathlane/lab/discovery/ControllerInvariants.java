package pathlane.lab.discovery;

import java.util.Optional;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;

/** What must hold at a controller whenever a change is in force, and after each message. */
final class ControllerInvariants {

    private final SourceHistory history;
    private final Violations violations;

    ControllerInvariants(SourceHistory history, Violations violations) {
        this.history = history;
        this.violations = violations;
    }

    /** A service's new state is in force: its revision has not gone back, its content is the source's at that revision. */
    void changed(ControllerProcess controller, ServiceState state, Revision before, int sizeBefore) {
        String service = state.service();
        if (before.isAfter(state.revision())) {
            violations.report(controller.name(), service + " goes back from " + before + " to " + state.revision());
        }
        if (!state.endpoints().equals(controller.servers(service))) {
            violations.report(controller.name(), service + " at " + state.revision() + " differs from the changes told");
        }
        if (state.digest() != ServiceDigest.of(state.endpoints(), state.configuration())) {
            violations.report(controller.name(), service + " at " + state.revision() + " has another digest than it says");
        }
        Optional<ServiceState> published = history.at(service, state.revision());
        if (published.isEmpty() || !isSameContent(published.get(), state)) {
            violations.report(controller.name(), service + " at " + state.revision() + " is " + state
                    + " and the source had " + published);
        }
        if (state.endpoints().size() * 2 < sizeBefore && history.isPartial(service, state.revision())) {
            violations.report(controller.name(), service + " loses most at " + state.revision()
                    + " at which the source was still loading it");
        }
    }

    /** A service is gone: the source had none at that revision, and its catalogue was whole. */
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

    /** A change that takes servers away and follows what is held is in force in the turn in which it came. */
    void handled(ControllerProcess controller, ServiceChange change, Revision before, Optional<PublisherStatus> status) {
        String service = change.service();
        boolean isComplete = status.isPresent() && status.get().complete();
        boolean follows = change instanceof ServiceChange.Delta delta ? delta.from().equals(before)
                : isComplete && change.revision().isAfter(before);
        if (!controller.isRunning() || !controller.watched().contains(service) || !follows) {
            return;
        }
        if (change.revision().isAfter(controller.revision(service))) {
            violations.report(controller.name(), "did not take " + service + " at " + change.revision() + " which follows "
                    + before);
        }
        if (change instanceof ServiceChange.Delta delta) {
            checkWithdrawn(controller, delta);
        }
    }

    /** A controller has everything up to a revision in force, as it says: each service as it was then, or newer. */
    void inForce(ControllerProcess controller, Revision revision) {
        for (String service : controller.watched()) {
            Optional<ServiceState> published = history.at(service, revision);
            boolean isHeld = published.isPresent() ? !published.get().revision().isAfter(controller.revision(service))
                    : controller.revision(service).isAfter(revision) || controller.servers(service).isEmpty();
            if (!isHeld) {
                violations.report(controller.name(), "says that " + revision + " is in force, and has " + service + " at "
                        + controller.revision(service) + " where the source had " + published);
            }
        }
    }

    private void checkWithdrawn(ControllerProcess controller, ServiceChange.Delta delta) {
        delta.removed().forEach(server -> checkNothingSent(controller, delta, server));
        delta.upserted().stream().filter(line -> line.status() == ServerStatus.DRAINING).map(ServerEndpoint::id)
                .forEach(server -> checkNothingSent(controller, delta, server));
    }

    private void checkNothingSent(ControllerProcess controller, ServiceChange.Delta delta, long server) {
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
