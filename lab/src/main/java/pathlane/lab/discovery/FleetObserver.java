package pathlane.lab.discovery;

import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.discovery.Catalogue;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.WatchMessage;

/** Passes the messages of all links to the invariants that apply to them. */
final class FleetObserver implements ObservedLink.Observer {

    private final PublisherInvariants publishers;
    private final ControllerInvariants controllers;
    /** For the update being handled, the revision that the controller held of each of its services. */
    private final Deque<Revision> revisionsBefore = new ArrayDeque<>();
    /** The revision that the controller had in force before the bookmark being handled. */
    private Revision inForceBefore = Revision.NONE;

    FleetObserver(PublisherInvariants publishers, ControllerInvariants controllers) {
        this.publishers = publishers;
        this.controllers = controllers;
    }

    @Override
    public void sent(ObservedLink link, WatchMessage.Response message, int bytes) {
        if (message instanceof WatchMessage.Accepted) {
            link.recordAccepted();
            publishers.accepted(link);
        } else if (message instanceof WatchMessage.Update update) {
            publishers.updated(link, update, bytes, catalogue(link.publisher));
        }
    }

    private static Catalogue catalogue(FleetProcess publisher) {
        return publisher instanceof SourceProcess source ? source.catalogue()
                : ((RelayProcess) publisher).relay().catalogue();
    }

    @Override
    public void requested(ObservedLink link, WatchMessage.Request message) {
        if (message instanceof WatchMessage.Acknowledge acknowledge) {
            link.unacknowledged.keySet().removeIf(batch -> batch <= acknowledge.batch());
        } else if (message instanceof WatchMessage.Subscribe) {
            link.clearOrdinaryUpdate();
        }
    }

    @Override
    public void arriving(ObservedLink link, WatchMessage.Response message) {
        if (message instanceof WatchMessage.Accepted accepted) {
            link.recordStatus(accepted.status());
        } else if (message instanceof WatchMessage.Status status) {
            link.recordStatus(status.status());
        } else if (message instanceof WatchMessage.Update update
                && link.subscriber instanceof ControllerProcess controller) {
            revisionsBefore.clear();
            update.changes().forEach(change -> revisionsBefore.add(controller.revision(change.service())));
        } else if (link.subscriber instanceof ControllerProcess controller) {
            inForceBefore = controller.client().inForce();
        }
    }

    @Override
    public void handled(ObservedLink link, WatchMessage.Response message) {
        if (message instanceof WatchMessage.Update update && link.subscriber instanceof ControllerProcess controller) {
            for (ServiceChange change : update.changes()) {
                controllers.handled(controller, change, revisionsBefore.remove(), link.lastStatus());
            }
            controller.highestInForce();
        } else if (message instanceof WatchMessage.Bookmark && link.subscriber instanceof ControllerProcess controller) {
            Revision inForce = controller.client().inForce();
            if (controller.isRunning() && inForce.isAfter(inForceBefore)) {
                controllers.inForce(controller, inForce);
            }
            controller.highestInForce();
        }
    }
}
