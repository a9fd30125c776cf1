package pathlane.handover;

import java.util.function.Supplier;
import pathlane.core.CallController;
import pathlane.group.LeaseHolder;

/** Acts on the calls of an ended lease once the registry has decided whether they are still this member's. */
final class ReclaimedCalls implements Reclaim.Listener {

    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final DeferredEvents deferredEvents;
    private final OrphanedEvents orphanedEvents;
    private final Supplier<CallController> controller;

    /** {@code controller} is used only once there are calls; it is set by then. */
    ReclaimedCalls(LeaseHolder leaseHolder, ReplicationLog replicationLog, DeferredEvents deferredEvents,
            OrphanedEvents orphanedEvents, Supplier<CallController> controller) {
        this.leaseHolder = leaseHolder;
        this.replicationLog = replicationLog;
        this.deferredEvents = deferredEvents;
        this.orphanedEvents = orphanedEvents;
        this.controller = controller;
    }

    @Override
    public long validToken() {
        return leaseHolder.isValid() ? leaseHolder.token() : 0;
    }

    @Override
    public void reclaimed(CallRecord record) {
        CallController callController = controller.get();
        if (record.kind() == CallRecord.Kind.CLIENT_RELEASE_PENDING) {
            callController.deliverRelease(record.callId(), new AdoptedClient(record.clientKey()), record.outcome());
        } else if (record.kind() == CallRecord.Kind.SERVER_RELEASE_PENDING) {
            callController.deliverServerRelease(record.callId(), record.server(), record.releaseToken());
        } else if (callController.isEstablished(record.callId())) {
            replicationLog.put(record);
            deferredEvents.take(record.callId()).forEach(callController::handleOwned);
        }
    }

    @Override
    public void claimedElsewhere(String callId) {
        controller.get().disown(callId);
        deferredEvents.take(callId).forEach(orphanedEvents::report);
    }
}
