package pathlane.directory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.core.CallController;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.OnDemandWatches;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchListener;

/**
 * Passes each change of a watched service to the call controller synchronously, so that a removed or draining server gets
 * no request from then on. Runs on the event loop's thread.
 */
final class ServerListFeed implements WatchListener {

    private static final Comparator<ServerEndpoint> BY_ID = Comparator.comparingLong(ServerEndpoint::id);

    private final CallController controller;
    private final OnDemandWatches watches;
    /** The last state of each service that the controller received. */
    private final Map<String, ServiceState> lastStates = new HashMap<>();

    ServerListFeed(CallController controller, OnDemandWatches watches) {
        this.controller = controller;
        this.watches = watches;
    }

    @Override
    public void changed(ServiceState state, ServiceChange change) {
        String service = state.service();
        ServiceState previous = lastStates.put(service, state);
        if (previous != null && change instanceof ServiceChange.Delta delta && delta.from().equals(previous.revision())) {
            controller.updateServers(service, false, changedEndpoints(previous, delta));
        } else {
            controller.updateServers(service, true, state.endpoints());
        }
        watches.stateKnown(service);
    }

    private static List<ServerEndpoint> changedEndpoints(ServiceState previous, ServiceChange.Delta delta) {
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (long id : delta.removed()) {
            int index = Collections.binarySearch(previous.endpoints(),
                    new ServerEndpoint(id, null, ServerStatus.GONE, 0, 0, null), BY_ID);
            if (index >= 0) {
                ServerEndpoint endpoint = previous.endpoints().get(index);
                endpoints.add(
                        new ServerEndpoint(id, endpoint.address(), ServerStatus.GONE, endpoint.pool(), endpoint.weight(),
                                endpoint.startedAt()));
            }
        }
        endpoints.addAll(delta.upserted());
        return endpoints;
    }

    @Override
    public void absent(String service, Revision revision) {
        lastStates.remove(service);
        controller.updateServers(service, true, List.of());
        watches.stateKnown(service);
    }

    @Override
    public void status(PublisherStatus status) {}

    /** Drops the state of a service that is no longer watched. */
    void forget(String service) {
        lastStates.remove(service);
    }
}
