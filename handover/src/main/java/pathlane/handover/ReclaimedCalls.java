package pathlane.handover;

import java.util.function.Supplier;
import pathlane.core.CallController;
import pathlane.group.LeaseHolder;

/** Acts on what became known of the calls of a lease that ended: whether they are still this member's. */
final class ReclaimedCalls implements Reclaim.Listener {

    private final LeaseHolder leaseHolder;
    private final ReplicationLog replicationLog;
    private final DeferredEvents deferredEvents;
    private final OrphanedEvents orphanedEvents;
    private final Supplier<CallController> controller;

    /** {@code controller} is asked once calls are known; it is set before that. */
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
    public void own(CallRecord record) {
        CallController calls = controller.get();
        if (record.kind() == CallRecord.Kind.CLIENT_RELEASE_PENDING) {
            calls.deliverRelease(record.callId(), new AdoptedClient(record.clientKey()), record.outcome());
        } else if (record.kind() == CallRecord.Kind.SERVER_RELEASE_PENDING) {
            calls.deliverServerRelease(record.callId(), record.server(), record.releaseToken());
        } else if (calls.isEstablished(record.callId())) {
            replicationLog.put(record);
            deferredEvents.take(record.callId()).forEach(calls::handleOwned);
        }
    }

    @Override
    public void others(String callId) {
        controller.get().disown(callId);
        deferredEvents.take(callId).forEach(orphanedEvents::report);
    }
}
