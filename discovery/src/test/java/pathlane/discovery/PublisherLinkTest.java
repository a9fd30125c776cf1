package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pathlane.core.ConnectionEnd;
import pathlane.group.Keys;
import pathlane.group.SealedLink;
import pathlane.link.Connection;
import pathlane.link.LimitedLog;
import pathlane.link.Protocol;
import pathlane.standin.VirtualTime;

/** A publisher behind signed frames, with the two ends of a connection in one process. */
class PublisherLinkTest {

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(1);
    private final Source source = new Source(1, PublisherHarness.TERMS, common("source"), time, random);
    private final List<WatchMessage> received = new ArrayList<>();
    private ConnectionEnd end;
    private final SealedLink client = new SealedLink(common("c1"), true, new SealedLink.Upper() {
        @Override
        public void up(SealedLink link, String name) {
            link.write(WatchCodec.bytes(new WatchMessage.Subscribe(true, true, List.of(), List.of())));
        }

        @Override
        public void message(byte[] payload) {
            received.add(WatchCodec.message(payload));
        }

        @Override
        public void down(ConnectionEnd why) {
            end = why;
        }
    });

    private SealedLink.Common common(String name) {
        Keys keys = new Keys(List.of(new Keys.Key("k", new byte[32])));
        return new SealedLink.Common(name, () -> keys, () -> {
            byte[] nonce = new byte[16];
            random.nextBytes(nonce);
            return nonce;
        }, time, new LimitedLog("test", time));
    }

    /** One end's way to the other: what is written arrives at the end of the turn. */
    private final class Wire implements Connection {
        private Protocol own;
        private Protocol other;
        private boolean closed;

        @Override
        public void write(byte[] bytes) {
            time.after(Duration.ZERO, () -> other.received(ByteBuffer.wrap(bytes)));
        }

        @Override
        public void close(ConnectionEnd why) {
            if (!closed) {
                closed = true;
                time.after(Duration.ZERO, () -> {
                    own.closed(why);
                    other.closed(ConnectionEnd.CLOSED_BY_PEER);
                });
            }
        }

        @Override
        public String remote() {
            return "test";
        }
    }

    private void connect() {
        Wire up = new Wire();
        Wire down = new Wire();
        up.own = client;
        down.own = source.accept();
        up.other = down.own;
        down.other = up.own;
        down.own.opened(down);
        client.opened(up);
        time.pass(Duration.ofMillis(200));
    }

    @Test
    void aSubscriberIsServedUnderTheNameThatItsConnectionShows() {
        source.catalogue().replace("a", PublisherHarness.endpoints(1, 3), "");
        source.catalogue().complete();
        connect();
        assertInstanceOf(WatchMessage.Accepted.class, received.get(0));
        assertEquals(new WatchMessage.Update(1, List.of(new ServiceChange.Snapshot(
                source.catalogue().state("a").orElseThrow()))), received.get(1));
        source.catalogue().update("a", List.of(), List.of(1L), java.util.Optional.empty());
        assertEquals("c1", source.publisher().progress().slowest().get(0).name());
    }

    @Test
    void whatIsNoMessageOfTheWatchEndsTheConnectionAndItsSession() {
        connect();
        assertEquals(1, source.publisher().counters().subscribers());
        client.write(new byte[] {99});
        time.pass(Duration.ofMillis(100));
        assertEquals(ConnectionEnd.CLOSED_BY_PEER, end);
        assertEquals(0, source.publisher().counters().subscribers());
    }
}
