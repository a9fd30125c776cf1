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

/** A start is over once the bus has told what happened since the list in the configuration. */
class StartTest {

    private static final Connection UP = new SilentConnection();

    private final VirtualTime time = new VirtualTime();
    private final List<Protocol> dialled = new ArrayList<>();
    private final List<ServerStatus> told = new ArrayList<>();
    private BusFeed feed;

    @BeforeEach
    void follow() {
        feed = new BusFeed(1, (address, timeout, protocol) -> dialled.add(protocol), time, new SplittableRandom(1),
                event -> event.lines().forEach(line -> told.add(line.status())), () -> {});
        feed.follow(Addresses.parse("127.0.0.1:9092"));
    }

    @Test
    void whatTheBusHasInStoreIsReadFirst() {
        time.pass(1000);
        assertFalse(feed.current().isDone(), "before the bus is reached");
        dialled.get(0).opened(UP);
        time.pass(60);
        assertFalse(feed.current().isDone(), "before the bus has had time to tell");
        frame("0000002400000000000000020200000001" + "7f000001138901000000000000" + "03e80000000000000000");
        time.pass(140);
        assertTrue(feed.current().isDone());
        assertEquals(List.of(ServerStatus.DRAINING), told);
    }

    @Test
    void aBusWithNothingNewEndsTheWait() {
        dialled.get(0).opened(UP);
        frame("00000009000000000000000100");
        assertTrue(feed.current().isDone());
    }

    @Test
    void aConnectionThatIsLostShowsNothing() {
        dialled.get(0).opened(UP);
        time.pass(100);
        dialled.get(0).closed(CloseReason.RESET);
        time.pass(150);
        assertFalse(feed.current().isDone());
        dialled.get(1).opened(UP);
        time.pass(200);
        assertTrue(feed.current().isDone());
    }

    private void frame(String hex) {
        dialled.get(0).received(ByteBuffer.wrap(HexFormat.of().parseHex(hex)));
    }
}
