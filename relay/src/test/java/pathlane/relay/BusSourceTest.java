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

    private static final int NOTHING_NEW = 0;
    private static final int WHOLE = 1;
    private static final int CHANGES = 2;
    private static final int RUNNING = 0;
    private static final int GONE = 2;
    private static final int EVENT_HEAD = 9;
    private static final int RECORD = 27;

    private final VirtualTime time = new VirtualTime();
    private final Source source = new Source(1, PublisherTerms.USUAL, new AuthenticatedLink.Context("s", () -> null,
            () -> new byte[16], time, new RateLimitedLog("test", time)), time, new SplittableRandom(1));
    private final List<Long> asked = new ArrayList<>();
    private Protocol bus;

    private BusSource started() {
        BusOrigin origin = new BusOrigin(new InetSocketAddress("127.0.0.1", 7000), Map.of("a", Set.of(1), "b", Set.of(2)),
                Map.of("a", new ConfigurationText(Optional.empty(), "text")));
        BusSource feed = new BusSource(origin, source, (address, timeout, protocol) -> {
            bus = protocol;
            protocol.opened(new Connection() {
                @Override
                public void write(byte[] bytes) {
                    asked.add(ByteBuffer.wrap(bytes).getLong());
                }

                @Override
                public void close(CloseReason why) {
                    time.after(Duration.ZERO, () -> protocol.closed(why));
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

    private void event(long number, int kind, int... idCellState) {
        ByteBuffer event = ByteBuffer.allocate(Integer.BYTES + EVENT_HEAD + idCellState.length / 3 * RECORD);
        event.putInt(event.capacity() - Integer.BYTES).putLong(number).put((byte) kind);
        for (int i = 0; i < idCellState.length; i += 3) {
            event.putInt(idCellState[i]).putInt(0x7f000001).putShort((short) 7001).put((byte) idCellState[i + 2])
                    .putShort((short) 0).putShort((short) idCellState[i + 1]).putInt(1000).putLong(0);
        }
        bus.received(event.flip());
    }

    private List<Long> ids(String service) {
        return source.catalogue().state(service).orElseThrow().endpoints().stream().map(ServerEndpoint::id).toList();
    }

    @Test
    void nothingIsPublishedBeforeTheBusHasToldItsWholeList() {
        started();
        event(1, WHOLE, 7, 1, RUNNING);
        event(2, CHANGES, 8, 2, RUNNING);
        time.pass(1000);
        assertFalse(source.catalogue().isComplete(), "time alone does not make a list whole");
        assertTrue(source.catalogue().services().isEmpty());
        event(2, NOTHING_NEW);
        assertEquals(List.of(0L), asked, "from event 0 on the bus tells its whole list");
        assertTrue(source.catalogue().isComplete());
        assertEquals(List.of(7L), ids("a"));
        assertEquals(List.of(8L), ids("b"));
        assertEquals("text", source.catalogue().state("a").orElseThrow().configuration());
    }

    @Test
    void aBusThatHasNoListYetIsWaitedFor() {
        started();
        event(0, NOTHING_NEW);
        assertFalse(source.catalogue().isComplete());
        event(1, WHOLE, 7, 1, RUNNING);
        assertTrue(source.catalogue().isComplete());
    }

    @Test
    void eachEventIsARevisionOfTheServicesThatItChanges() {
        started();
        event(1, WHOLE, 7, 1, RUNNING, 8, 2, RUNNING);
        event(1, NOTHING_NEW);
        long before = source.catalogue().revision().number();
        event(2, CHANGES, 7, 1, GONE);
        assertEquals(List.of(), ids("a"));
        assertEquals(List.of(8L), ids("b"));
        assertEquals(before + 1, source.catalogue().revision().number());
    }

    @Test
    void aBusThatTakesConnectionsAndTellsNothingMakesTheSourceStale() {
        started();
        event(1, WHOLE, 7, 1, RUNNING);
        event(1, NOTHING_NEW);
        for (int second = 0; second < 20; second++) {
            time.pass(1000);
            assertEquals(second < 2, source.publisher().status().staleFor().isZero(), "after " + (second + 1) + " s");
        }
        assertTrue(asked.size() > 5, "it was dialled again and again");
    }

    @Test
    void aBusThatFallsSilentMakesTheSourceStaleUntilItIsHeardAgain() {
        started();
        event(1, WHOLE, 7, 1, RUNNING);
        event(1, NOTHING_NEW);
        time.pass(1900);
        assertTrue(source.publisher().status().staleFor().isZero(), "one heartbeat that is late is no silence");
        time.pass(4000);
        assertFalse(source.publisher().status().staleFor().isZero());
        event(1, NOTHING_NEW);
        time.pass(1000);
        assertTrue(source.publisher().status().staleFor().isZero());
    }
}
