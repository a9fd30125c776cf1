package pathlane.directory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.core.CallController;
import pathlane.core.ServerLine;
import pathlane.decision.Gateway.Mode;
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

    private static final Comparator<ServerLine> BY_ID = Comparator.comparingLong(ServerLine::id);

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
            controller.listed(service, false, changedLines(before, delta));
        } else {
            controller.listed(service, true, state.endpoints());
        }
        watches.known(service);
    }

    private static List<ServerLine> changedLines(ServiceState before, ServiceChange.Delta delta) {
        List<ServerLine> lines = new ArrayList<>();
        for (long id : delta.removed()) {
            int place = Collections.binarySearch(before.endpoints(), new ServerLine(id, null, Mode.GONE, 0, 0, null), BY_ID);
            if (place >= 0) {
                ServerLine line = before.endpoints().get(place);
                lines.add(new ServerLine(id, line.address(), Mode.GONE, line.cell(), line.weight(), line.startedAt()));
            }
        }
        lines.addAll(delta.upserted());
        return lines;
    }

    @Override
    public void absent(String service, Revision revision) {
        listed.remove(service);
        controller.listed(service, true, List.of());
        watches.known(service);
    }

    @Override
    public void status(PublisherStatus status) {}

    /** A service is not watched any more. */
    void forget(String service) {
        listed.remove(service);
    }
}
