package pathlane.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pathlane.bus.BusFeed;
import pathlane.core.CloseReason;
import pathlane.decision.ServerStatus;
import pathlane.standin.VirtualTime;
import pathlane.transport.Addresses;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * The start is complete only once the event bus has delivered the events since the server list of the configuration;
 * otherwise calls would go to servers that have drained meanwhile.
 */
class StartTest {

    private static final Connection CONNECTION = new SilentConnection();

    private final VirtualTime time = new VirtualTime();
    private final List<Protocol> connectAttempts = new ArrayList<>();
    private final List<ServerStatus> received = new ArrayList<>();
    private BusFeed feed;

    @BeforeEach
    void follow() {
        feed = new BusFeed(1, (address, timeout, protocol) -> connectAttempts.add(protocol), time, new SplittableRandom(1),
                event -> event.endpoints().forEach(server -> received.add(server.status())), () -> {});
        feed.follow(Addresses.parse("127.0.0.1:9092"));
    }

    @Test
    void pendingBusEventsAreReadBeforeTheStartCompletes() {
        time.advance(1000);
        assertFalse(feed.initialSync().isDone(), "before the bus is connected");
        connectAttempts.get(0).opened(CONNECTION);
        time.advance(60);
        assertFalse(feed.initialSync().isDone(), "before the bus had time to deliver its events");
        frame("0000002400000000000000020200000001" + "7f000001138901000000000000" + "03e80000000000000000");
        time.advance(140);
        assertTrue(feed.initialSync().isDone());
        assertEquals(List.of(ServerStatus.DRAINING), received);
    }

    @Test
    void aHeartbeatWithoutNewEventsCompletesTheStart() {
        connectAttempts.get(0).opened(CONNECTION);
        frame("00000009000000000000000100");
        assertTrue(feed.initialSync().isDone());
    }

    @Test
    void aLostBusConnectionDoesNotCompleteTheStart() {
        connectAttempts.get(0).opened(CONNECTION);
        time.advance(100);
        connectAttempts.get(0).closed(CloseReason.RESET);
        time.advance(150);
        assertFalse(feed.initialSync().isDone());
        connectAttempts.get(1).opened(CONNECTION);
        time.advance(200);
        assertTrue(feed.initialSync().isDone());
    }

    private void frame(String hex) {
        connectAttempts.get(0).received(ByteBuffer.wrap(HexFormat.of().parseHex(hex)));
    }
}
