package pathlane.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.Source;
import pathlane.group.AuthenticatedLink;
import pathlane.relay.ProgramFile.BusOrigin;
import pathlane.relay.ProgramFile.ConfigurationText;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

class BusSourceTest {

    private static final int HEARTBEAT = 0;
    private static final int COMPLETE_LIST = 1;
    private static final int CHANGES = 2;
    private static final int RUNNING = 0;
    private static final int GONE = 2;
    private static final int EVENT_HEADER_BYTES = 9;
    private static final int RECORD_BYTES = 27;

    private final VirtualTime time = new VirtualTime();
    private final Source source = new Source(1, PublisherTerms.DEFAULTS, new AuthenticatedLink.Context("s", () -> null,
            () -> new byte[16], time, new RateLimitedLog("test", time)), time, new SplittableRandom(1));
    private final List<Long> requestedEvents = new ArrayList<>();
    private Protocol bus;

    private BusSource start() {
        BusOrigin origin = new BusOrigin(new InetSocketAddress("127.0.0.1", 7000), Map.of("a", Set.of(1), "b", Set.of(2)),
                Map.of("a", new ConfigurationText(Optional.empty(), "text")));
        BusSource feed = new BusSource(origin, source, (address, timeout, protocol) -> {
            bus = protocol;
            protocol.opened(new Connection() {
                @Override
                public void write(byte[] bytes) {
                    requestedEvents.add(ByteBuffer.wrap(bytes).getLong());
                }

                @Override
                public void close(CloseReason reason) {
                    time.after(Duration.ZERO, () -> protocol.closed(reason));
                }

                @Override
                public String remote() {
                    return "bus";
                }
            });
        }, time, 1);
        feed.start();
        return feed;
    }

    private void event(long number, int kind, int... idCellStatus) {
        ByteBuffer event = ByteBuffer.allocate(Integer.BYTES + EVENT_HEADER_BYTES + idCellStatus.length / 3 * RECORD_BYTES);
        event.putInt(event.capacity() - Integer.BYTES).putLong(number).put((byte) kind);
        for (int i = 0; i < idCellStatus.length; i += 3) {
            event.putInt(idCellStatus[i]).putInt(0x7f000001).putShort((short) 7001).put((byte) idCellStatus[i + 2])
                    .putShort((short) 0).putShort((short) idCellStatus[i + 1]).putInt(1000).putLong(0);
        }
        bus.received(event.flip());
    }

    private List<Long> ids(String service) {
        return source.catalogue().state(service).orElseThrow().endpoints().stream().map(ServerEndpoint::id).toList();
    }

    @Test
    void nothingIsPublishedBeforeTheBusHasSentItsCompleteList() {
        start();
        event(1, COMPLETE_LIST, 7, 1, RUNNING);
        event(2, CHANGES, 8, 2, RUNNING);
        time.advance(1000);
        assertFalse(source.catalogue().isComplete(), "time alone does not complete a list");
        assertTrue(source.catalogue().services().isEmpty());
        event(2, HEARTBEAT);
        assertEquals(List.of(0L), requestedEvents, "from event 0 on the bus sends its complete list");
        assertTrue(source.catalogue().isComplete());
        assertEquals(List.of(7L), ids("a"));
        assertEquals(List.of(8L), ids("b"));
        assertEquals("text", source.catalogue().state("a").orElseThrow().configuration());
    }

    @Test
    void sourceWaitsForABusThatHasNoListYet() {
        start();
        event(0, HEARTBEAT);
        assertFalse(source.catalogue().isComplete());
        event(1, COMPLETE_LIST, 7, 1, RUNNING);
        assertTrue(source.catalogue().isComplete());
    }

    @Test
    void eachEventIsARevisionOfTheServicesItChanges() {
        start();
        event(1, COMPLETE_LIST, 7, 1, RUNNING, 8, 2, RUNNING);
        event(1, HEARTBEAT);
        long before = source.catalogue().revision().number();
        event(2, CHANGES, 7, 1, GONE);
        assertEquals(List.of(), ids("a"));
        assertEquals(List.of(8L), ids("b"));
        assertEquals(before + 1, source.catalogue().revision().number());
    }

    @Test
    void busThatAcceptsConnectionsButSendsNothingMakesTheSourceStale() {
        start();
        event(1, COMPLETE_LIST, 7, 1, RUNNING);
        event(1, HEARTBEAT);
        for (int second = 0; second < 20; second++) {
            time.advance(1000);
            assertEquals(second < 2, source.publisher().status().staleFor().isZero(), "after " + (second + 1) + " s");
        }
        assertTrue(requestedEvents.size() > 5, "it was reconnected repeatedly");
    }

    @Test
    void silentBusMakesTheSourceStaleUntilItSendsAgain() {
        start();
        event(1, COMPLETE_LIST, 7, 1, RUNNING);
        event(1, HEARTBEAT);
        time.advance(1900);
        assertTrue(source.publisher().status().staleFor().isZero(), "one late heartbeat is not silence");
        time.advance(4000);
        assertFalse(source.publisher().status().staleFor().isZero());
        event(1, HEARTBEAT);
        time.advance(1000);
        assertTrue(source.publisher().status().staleFor().isZero());
    }
}
