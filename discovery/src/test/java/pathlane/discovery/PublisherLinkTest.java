package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.group.AuthenticatedLink;

/** Tests a source's connection, with a subscriber that sends signed frames. */
class PublisherLinkTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9000);

    private final VirtualNetwork network = new VirtualNetwork();
    private final Source source = new Source(1, PublisherHarness.TERMS, network.common("source"), network.time,
            new Random(1));
    private final List<WatchMessage> received = new ArrayList<>();
    private CloseReason closeReason;
    private final AuthenticatedLink client =
            new AuthenticatedLink(network.common("c1"), true, new AuthenticatedLink.Listener() {
                @Override
                public void authenticated(AuthenticatedLink link, String name) {
                    link.send(WatchCodec.bytes(new WatchMessage.Subscribe(true, true, List.of(), List.of())));
                }

                @Override
                public void received(byte[] payload) {
                    received.add(WatchCodec.message(payload));
                }

                @Override
                public void closed(CloseReason reason) {
                    closeReason = reason;
                }
            });

    private void connect() {
        network.listen(ADDRESS, source::accept);
        network.connect(ADDRESS, Duration.ofSeconds(1), client);
        network.pass(Duration.ofMillis(200));
    }

    @Test
    void aSubscriberIsServedUnderItsAuthenticatedName() {
        source.catalogue().replace("a", Samples.endpoints(1, 3), "");
        source.catalogue().complete();
        connect();
        assertInstanceOf(WatchMessage.Accepted.class, received.get(0));
        assertEquals(new WatchMessage.Update(1, List.of(new ServiceChange.Snapshot(
                source.catalogue().state("a").orElseThrow()))), received.get(1));
        source.catalogue().update("a", List.of(), List.of(1L), Optional.empty());
        assertEquals("c1", source.publisher().progress().slowest().get(0).name());
    }

    @Test
    void aMalformedMessageClosesTheConnectionAndItsSession() {
        connect();
        assertEquals(1, source.publisher().counters().subscribers());
        client.send(new byte[] {99});
        network.pass(Duration.ofMillis(100));
        assertEquals(CloseReason.CLOSED_BY_PEER, closeReason);
        assertEquals(0, source.publisher().counters().subscribers());
    }
}
