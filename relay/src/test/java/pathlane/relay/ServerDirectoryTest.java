package pathlane.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pathlane.bus.ServerList;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.relay.ServerDirectory.EndpointChange;

class ServerDirectoryTest {

    private final ServerDirectory directory = new ServerDirectory(Map.of("a", Set.of(1, 2), "b", Set.of(3)));

    private static ServerEndpoint endpoint(long id, int cell, ServerStatus status) {
        return new ServerEndpoint(id, new InetSocketAddress("127.0.0.1", 7000), status, cell, 1, Instant.EPOCH);
    }

    private Map<String, EndpointChange> apply(boolean complete, ServerEndpoint... endpoints) {
        return directory.apply(new ServerList(complete, List.of(endpoints)));
    }

    @Test
    void aServerBelongsToTheServiceOfItsCell() {
        apply(true, endpoint(5, 2, ServerStatus.RUNNING), endpoint(4, 1, ServerStatus.RUNNING),
                endpoint(6, 3, ServerStatus.DRAINING),
                endpoint(7, 9, ServerStatus.RUNNING));
        assertEquals(List.of(4L, 5L), directory.endpoints("a").stream().map(ServerEndpoint::id).toList());
        assertEquals(List.of(6L), directory.endpoints("b").stream().map(ServerEndpoint::id).toList());
        assertEquals(1, directory.unassigned());
    }

    @Test
    void eventReportsOnlyWhatItChanged() {
        apply(true, endpoint(4, 1, ServerStatus.RUNNING), endpoint(6, 3, ServerStatus.RUNNING));
        assertTrue(apply(false, endpoint(4, 1, ServerStatus.RUNNING)).isEmpty());
        assertEquals(Map.of("a", new EndpointChange(List.of(endpoint(4, 1, ServerStatus.DRAINING)), List.of())),
                apply(false, endpoint(4, 1, ServerStatus.DRAINING)));
        assertEquals(Map.of("a", new EndpointChange(List.of(), List.of(4L))),
                apply(false, endpoint(4, 1, ServerStatus.GONE)));
        assertTrue(apply(false, endpoint(4, 1, ServerStatus.GONE)).isEmpty());
    }

    @Test
    void completeListRemovesMissingServers() {
        apply(true, endpoint(4, 1, ServerStatus.RUNNING), endpoint(6, 3, ServerStatus.RUNNING),
                endpoint(7, 9, ServerStatus.RUNNING));
        assertEquals(Map.of("b", new EndpointChange(List.of(), List.of(6L))),
                apply(true, endpoint(4, 1, ServerStatus.RUNNING)));
        assertEquals(0, directory.unassigned());
    }

    @Test
    void serverThatMovesToAnotherCellLeavesItsFormerService() {
        apply(true, endpoint(4, 1, ServerStatus.RUNNING));
        assertEquals(Map.of("a", new EndpointChange(List.of(), List.of(4L)),
                "b", new EndpointChange(List.of(endpoint(4, 3, ServerStatus.RUNNING)), List.of())),
                apply(false, endpoint(4, 3, ServerStatus.RUNNING)));
        assertEquals(Map.of("b", new EndpointChange(List.of(), List.of(4L))),
                apply(false, endpoint(4, 9, ServerStatus.RUNNING)));
        assertEquals(1, directory.unassigned());
    }
}
