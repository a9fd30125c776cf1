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
 * Hands a call controller each change of a watched service within the call that tells it: a server that was removed or
 * drains gets nothing from then on. On the loop's thread.
 */
final class ServerListFeed implements WatchListener {

    private static final Comparator<ServerEndpoint> BY_ID = Comparator.comparingLong(ServerEndpoint::id);

    private final CallController controller;
    private final OnDemandWatches watches;
    /** What the controller was told last of each service. */
    private final Map<String, ServiceState> listed = new HashMap<>();

    ServerListFeed(CallController controller, OnDemandWatches watches) {
        this.controller = controller;
        this.watches = watches;
    }

    @Override
    public void changed(ServiceState state, ServiceChange change) {
        String service = state.service();
        ServiceState before = listed.put(service, state);
        if (before != null && change instanceof ServiceChange.Delta delta && delta.from().equals(before.revision())) {
            controller.updateServers(service, false, changedLines(before, delta));
        } else {
            controller.updateServers(service, true, state.endpoints());
        }
        watches.known(service);
    }

    private static List<ServerEndpoint> changedLines(ServiceState before, ServiceChange.Delta delta) {
        List<ServerEndpoint> lines = new ArrayList<>();
        for (long id : delta.removed()) {
            int place = Collections.binarySearch(before.endpoints(),
                    new ServerEndpoint(id, null, ServerStatus.GONE, 0, 0, null), BY_ID);
            if (place >= 0) {
                ServerEndpoint line = before.endpoints().get(place);
                lines.add(new ServerEndpoint(id, line.address(), ServerStatus.GONE, line.pool(), line.weight(),
                        line.startedAt()));
            }
        }
        lines.addAll(delta.upserted());
        return lines;
    }

    @Override
    public void absent(String service, Revision revision) {
        listed.remove(service);
        controller.updateServers(service, true, List.of());
        watches.known(service);
    }

    @Override
    public void status(PublisherStatus status) {}

    /** A service is not watched any more. */
    void forget(String service) {
        listed.remove(service);
    }
}
