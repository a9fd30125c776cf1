package pathlane.lab.discovery;

import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.discovery.Catalogue;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.WatchMessage;

/** Hands the messages of all links to the invariants that concern them. */
final class FleetObserver implements ObservedLink.Observer {

    private final PublisherInvariants publishers;
    private final ControllerInvariants controllers;
    /** The revisions that a controller held of each service of the update that it handles. */
    private final Deque<Revision> before = new ArrayDeque<>();
    /** What a controller had in force before the bookmark that it handles. */
    private Revision inForceBefore = Revision.NONE;

    FleetObserver(PublisherInvariants publishers, ControllerInvariants controllers) {
        this.publishers = publishers;
        this.controllers = controllers;
    }

    @Override
    public void sent(ObservedLink link, WatchMessage.Response message, int bytes) {
        if (message instanceof WatchMessage.Accepted) {
            link.noteAccepted();
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
            link.forgetOrdinaryUpdate();
        }
    }

    @Override
    public void arriving(ObservedLink link, WatchMessage.Response message) {
        if (message instanceof WatchMessage.Accepted accepted) {
            link.noteStatus(accepted.status());
        } else if (message instanceof WatchMessage.Status status) {
            link.noteStatus(status.status());
        } else if (message instanceof WatchMessage.Update update
                && link.subscriber instanceof ControllerProcess controller) {
            before.clear();
            update.changes().forEach(change -> before.add(controller.revision(change.service())));
        } else if (link.subscriber instanceof ControllerProcess controller) {
            inForceBefore = controller.client().inForce();
        }
    }

    @Override
    public void handled(ObservedLink link, WatchMessage.Response message) {
        if (message instanceof WatchMessage.Update update && link.subscriber instanceof ControllerProcess controller) {
            for (ServiceChange change : update.changes()) {
                controllers.handled(controller, change, before.remove(), link.lastStatus());
            }
            controller.greatestInForce();
        } else if (message instanceof WatchMessage.Bookmark && link.subscriber instanceof ControllerProcess controller) {
            Revision inForce = controller.client().inForce();
            if (controller.isRunning() && inForce.isAfter(inForceBefore)) {
                controllers.inForce(controller, inForce);
            }
            controller.greatestInForce();
        }
    }
}
