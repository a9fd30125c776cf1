package pathlane.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchListener;

/**
 * Checks the updates that one watch client receives: no service's revision goes backwards, each state matches its digest,
 * and no endpoint is removed unless the event bus has published that it is gone. Runs on the test bed's event loop.
 */
final class WatchChecker implements WatchListener {

    private final String client;
    private final LongPredicate isGone;
    private final Map<String, ServiceState> states = new HashMap<>();
    private final Map<String, Revision> revisions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private Optional<PublisherStatus> status = Optional.empty();

    /** {@code hasGone} returns whether the event bus has published that the endpoint with this id is gone. */
    WatchChecker(String client, LongPredicate isGone) {
        this.client = client;
        this.isGone = isGone;
    }

    /** The violations, in order of time. */
    List<String> violations() {
        return violations;
    }

    /** The last status of the connected publisher; empty while none is connected. */
    Optional<PublisherStatus> status() {
        return status;
    }

    @Override
    public void changed(ServiceState state, ServiceChange change) {
        checkRevision(state.service(), state.revision());
        if (ServiceDigest.of(state.endpoints(), state.configuration()) != state.digest()) {
            violations.add(client + ": " + state.service() + " at " + state.revision() + " differs from its digest");
        }
        Set<Long> kept = new HashSet<>();
        state.endpoints().forEach(endpoint -> kept.add(endpoint.id()));
        checkRemoved(states.put(state.service(), state), kept, state.revision());
    }

    @Override
    public void absent(String service, Revision revision) {
        checkRevision(service, revision);
        checkRemoved(states.remove(service), Set.of(), revision);
    }

    @Override
    public void status(PublisherStatus latest) {
        status = Optional.of(latest);
    }

    @Override
    public void disconnected() {
        status = Optional.empty();
    }

    private void checkRevision(String service, Revision revision) {
        Revision before = revisions.put(service, revision);
        if (before != null && before.isAfter(revision)) {
            violations.add(client + ": " + service + " went back from " + before + " to " + revision);
        }
    }

    private void checkRemoved(ServiceState before, Set<Long> kept, Revision revision) {
        if (before == null) {
            return;
        }
        for (ServerEndpoint endpoint : before.endpoints()) {
            if (!kept.contains(endpoint.id()) && !isGone.test(endpoint.id())) {
                violations.add(client + ": endpoint " + endpoint.id() + " of " + before.service() + " was removed at "
                        + revision + " and is not gone");
            }
        }
    }
}
