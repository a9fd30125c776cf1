package pathlane.discovery;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/** Sample content of services for tests. */
final class Samples {

    static final String SERVICE = "billing";

    private Samples() {}

    static ServerEndpoint endpoint(long id, ServerStatus status) {
        return new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", 1000 + (int) id), status, 1, 1, Instant.EPOCH);
    }

    static ServerEndpoint endpoint(long id) {
        return endpoint(id, ServerStatus.RUNNING);
    }

    /** Endpoints with the ids of a range, both ends included. */
    static List<ServerEndpoint> endpoints(long from, long to) {
        return LongStream.rangeClosed(from, to).mapToObj(Samples::endpoint).toList();
    }

    static ServiceState state(Revision revision, List<ServerEndpoint> endpoints) {
        return new ServiceState(SERVICE, revision, ServiceDigest.of(endpoints, ""), endpoints, "");
    }

    static ServiceChange.Snapshot snapshot(Revision revision, List<ServerEndpoint> endpoints) {
        return new ServiceChange.Snapshot(state(revision, endpoints));
    }

    /** The delta that adds an endpoint to a state. */
    static ServiceChange.Delta adding(ServiceState before, Revision revision, ServerEndpoint added) {
        List<ServerEndpoint> after = new ArrayList<>(before.endpoints());
        after.add(added);
        return new ServiceChange.Delta(SERVICE, before.revision(), revision, ServiceDigest.of(after, ""), List.of(added),
                List.of(), Optional.empty());
    }

    /** The delta that removes endpoints from a state. */
    static ServiceChange.Delta removing(ServiceState before, Revision revision, Long... ids) {
        List<Long> removed = Arrays.asList(ids);
        List<ServerEndpoint> after =
                before.endpoints().stream().filter(endpoint -> !removed.contains(endpoint.id())).toList();
        return new ServiceChange.Delta(SERVICE, before.revision(), revision, ServiceDigest.of(after, ""), List.of(),
                removed, Optional.empty());
    }
}
