package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Bookmark;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Status;
import pathlane.discovery.WatchTerms.PublisherAddress;

class WatchClientTest {

    private static final Revision R1 = new Revision(1, 1);
    private static final Revision R2 = new Revision(1, 2);
    private static final Revision R3 = new Revision(1, 3);
    private static final ServiceState TEN = Samples.state(R1, Samples.endpoints(1, 10));
    private static final Duration SHORT = Duration.ofMillis(20);
    private static final Duration SILENT_AFTER = Duration.ofSeconds(3);
    private static final Duration RETURN_WITHIN = Duration.ofSeconds(30);

    private final VirtualNetwork network = new VirtualNetwork();
    private final ScriptedPublisher preferred = new ScriptedPublisher(network, "preferred", 1);
    private final ScriptedPublisher other = new ScriptedPublisher(network, "other", 2);
    private final List<String> events = new ArrayList<>();
    private final WatchClient client = new WatchClient(new WatchTerms("client", "a", "east", List.of(
            new PublisherAddress("other", other.address, "b", "east"),
            new PublisherAddress("preferred", preferred.address, "a", "east")), Duration.ofMillis(200),
            Duration.ofSeconds(5), SILENT_AFTER, RETURN_WITHIN), network, network.common("client"), network.time,
            new SplittableRandom(1), new RecordingListener());

    private final class RecordingListener implements WatchListener {
        @Override
        public void changed(ServiceState state, ServiceChange change) {
            events.add(state.revision() + " " + state.endpoints().size());
        }

        @Override
        public void absent(String service, Revision revision) {
            events.add(revision + " absent");
        }

        @Override
        public void status(PublisherStatus status) {}
    }

    @BeforeEach
    void watchOneService() {
        client.watch(Samples.SERVICE);
        client.start();
        network.pass(SHORT);
    }

    private int endpointCount() {
        return client.state(Samples.SERVICE).map(state -> state.endpoints().size()).orElse(-1);
    }

    private Interest lastInterest(ScriptedPublisher publisher) {
        return publisher.subscribed.get(publisher.subscribed.size() - 1).interests().get(0);
    }

    @Test
    void aChangeIsAcknowledgedAfterTheListenerWasNotified() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        assertEquals(List.of("1.1 10"), events);
        assertEquals(List.of(new Acknowledge(1, Revision.NONE)), preferred.acknowledged);
        preferred.send(new Bookmark(R2));
        assertEquals(new Acknowledge(0, R2), preferred.acknowledged.get(1));
        assertEquals(R2, client.inForce());
    }

    @Test
    void aGapIsRequestedOnceAndHoldsBackTheAppliedRevisionUntilItIsFilled() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        ServiceState missed = Samples.state(R2, Samples.endpoints(1, 11));
        preferred.update(2, Samples.adding(missed, R3, Samples.endpoint(12)));
        preferred.update(3, Samples.adding(Samples.state(R3, Samples.endpoints(1, 12)), new Revision(1, 4),
                Samples.endpoint(13)));
        preferred.send(new Bookmark(new Revision(1, 4)));
        assertEquals(new Interest(Samples.SERVICE, Revision.NONE, 0), lastInterest(preferred));
        assertEquals(2, preferred.subscribed.size());
        assertEquals(10, endpointCount());
        assertEquals(Revision.NONE, client.inForce());
        preferred.update(4, Samples.snapshot(new Revision(1, 4), Samples.endpoints(1, 13)));
        preferred.send(new Bookmark(new Revision(1, 4)));
        assertEquals(13, endpointCount());
        assertEquals(new Revision(1, 4), client.inForce());
        assertEquals(2, client.counters().gaps());
    }

    @Test
    void aSilentPublisherIsReplacedAndTheLastStateStays() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        network.pass(SILENT_AFTER.plusSeconds(1));
        assertEquals(Optional.of("other"), client.publisher());
        assertEquals(new Interest(Samples.SERVICE, R1, TEN.digest()), lastInterest(other));
        assertEquals(10, endpointCount());
    }

    @Test
    void withoutAnyPublisherTheLastStateStaysAndTheClientReconnectsLater() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        other.stop();
        preferred.stop();
        network.pass(Duration.ofMinutes(5));
        assertEquals(10, endpointCount());
        assertEquals(Optional.empty(), client.publisher());
        other.restart();
        network.pass(Duration.ofSeconds(6));
        assertEquals(Optional.of("other"), client.publisher());
    }

    @Test
    void aPublisherOfAnEarlierEpochIsNotUsed() {
        preferred.update(1, Samples.snapshot(new Revision(2, 1), Samples.endpoints(1, 3)));
        other.respondWithAcceptance(true, new Revision(1, 99), Duration.ZERO);
        preferred.stop();
        network.pass(Duration.ofSeconds(1));
        assertEquals(Optional.empty(), client.publisher());
        other.respondWithAcceptance(true, new Revision(2, 0), Duration.ZERO);
        network.pass(Duration.ofSeconds(6));
        assertEquals(Optional.of("other"), client.publisher());
    }

    @Test
    void aRejectedWatchIsNotRetriedBeforeItsRetryDelay() {
        other.stop();
        preferred.stop();
        network.pass(SHORT);
        preferred.firstResponse = new WatchMessage.Refused(Duration.ofSeconds(8));
        preferred.restart();
        network.pass(Duration.ofSeconds(6));
        int asked = preferred.subscribed.size();
        preferred.respondWithAcceptance(true, R1, Duration.ZERO);
        network.pass(Duration.ofSeconds(1));
        assertEquals(asked, preferred.subscribed.size());
        assertEquals(1, client.counters().refused());
        network.pass(Duration.ofSeconds(12));
        assertEquals(Optional.of("preferred"), client.publisher());
    }

    @Test
    void theClientReturnsToThePreferredPublisherWithoutDisconnecting() {
        preferred.stop();
        keepAlive(Duration.ofSeconds(2));
        assertEquals(Optional.of("other"), client.publisher());
        preferred.firstResponse = null;
        preferred.restart();
        keepAlive(RETURN_WITHIN);
        assertEquals(Optional.of("other"), client.publisher(), "left before the better publisher had accepted");
        preferred.respondWithAcceptance(false, R1, Duration.ZERO);
        keepAlive(RETURN_WITHIN.plusSeconds(10));
        assertEquals(2, client.counters().connections(), "moved to an incomplete publisher");
        preferred.respondWithAcceptance(true, R1, Duration.ZERO);
        keepAlive(RETURN_WITHIN.plusSeconds(10));
        assertEquals(Optional.of("preferred"), client.publisher());
        assertFalse(other.isConnected());
    }

    /** Lets the publishers send a bookmark each second, so that they are not considered lost. */
    private void keepAlive(Duration span) {
        for (long second = 0; second < span.toSeconds(); second++) {
            network.pass(Duration.ofSeconds(1));
            for (ScriptedPublisher publisher : List.of(preferred, other)) {
                publisher.sendIfConnected(new Bookmark(Revision.NONE));
            }
        }
    }

    @Test
    void anIncompletePublishersSmallSnapshotIsRequestedAgainWhenItIsComplete() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        preferred.send(new Status(new PublisherStatus(false, R2, Duration.ZERO)));
        preferred.send(new Bookmark(R2));
        assertEquals(Revision.NONE, client.inForce(), "an incomplete publisher's bookmark");
        preferred.update(2, Samples.snapshot(R2, List.of()));
        preferred.update(3, Samples.adding(Samples.state(R2, List.of()), R3, Samples.endpoint(1)));
        preferred.send(new Bookmark(R3));
        assertEquals(10, endpointCount());
        assertEquals(1, preferred.subscribed.size());
        assertEquals(Revision.NONE, client.inForce());
        preferred.send(new Status(new PublisherStatus(true, R3, Duration.ZERO)));
        assertEquals(2, preferred.subscribed.size());
        assertEquals(new Interest(Samples.SERVICE, Revision.NONE, 0), lastInterest(preferred));
        preferred.update(4, Samples.snapshot(R3, Samples.endpoints(1, 1)));
        preferred.send(new Bookmark(R3));
        assertEquals(1, endpointCount());
        assertEquals(R3, client.inForce());
    }

    @Test
    void theStateOfAServiceNoLongerWatchedIsDropped() {
        preferred.update(1, new ServiceChange.Snapshot(TEN));
        client.unwatch(Samples.SERVICE);
        network.pass(SHORT);
        assertEquals(List.of(Samples.SERVICE), preferred.subscribed.get(1).ended());
        preferred.update(2, Samples.adding(TEN, R2, Samples.endpoint(11)));
        assertEquals(-1, endpointCount());
        assertEquals(1, events.size());
        assertTrue(preferred.acknowledged.contains(new Acknowledge(2, Revision.NONE)));
    }
}
