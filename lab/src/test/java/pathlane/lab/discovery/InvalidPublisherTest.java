package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.lab.discovery.ScriptedPublisher.SERVICE;
import static pathlane.lab.discovery.ScriptedPublisher.removal;
import static pathlane.lab.discovery.ScriptedPublisher.snapshot;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchMessage;

/** How a watch client handles a publisher that violates the protocol. */
class InvalidPublisherTest {

    @BeforeAll
    static void disableLogging() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    private static final Revision FIRST = new Revision(2, 10);
    private static final Revision SECOND = new Revision(2, 11);
    private static final Revision THIRD = new Revision(2, 12);
    private static final List<ServerEndpoint> FOUR = servers(4);

    private static List<ServerEndpoint> servers(int number) {
        return LongStream.rangeClosed(1, number).mapToObj(id -> new ServerEndpoint(id, new InetSocketAddress("127.0.0.1",
                (int) (20_000 + id)), ServerStatus.RUNNING, (int) id, 1, Instant.EPOCH)).toList();
    }

    private static PublisherStatus status(boolean complete) {
        return new PublisherStatus(complete, FIRST, Duration.ZERO);
    }

    private static ScriptedPublisher withSnapshotInForce(boolean complete) {
        ScriptedPublisher publisher = new ScriptedPublisher(status(complete));
        publisher.update(snapshot(FIRST, FOUR));
        assertEquals(List.of(snapshot(FIRST, FOUR).state()), publisher.inForce);
        publisher.requests.clear();
        return publisher;
    }

    private static void assertFirstStateKept(ScriptedPublisher publisher) {
        assertEquals(Optional.of(snapshot(FIRST, FOUR).state()), publisher.client.state(SERVICE));
        assertEquals(1, publisher.inForce.size());
        assertEquals(List.of(), publisher.absent);
    }

    @Test
    void aDeltaThatDoesNotFollowIsNotAppliedAndASnapshotIsRequested() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        publisher.update(removal(SECOND, THIRD, 4, servers(3)));
        assertFirstStateKept(publisher);
        assertEquals(1, publisher.client.counters().gaps());
        assertEquals(1, publisher.interests().size());
        publisher.update(snapshot(THIRD, servers(3)));
        assertEquals(THIRD, publisher.client.state(SERVICE).orElseThrow().revision());
    }

    @Test
    void aDeltaWithAWrongDigestIsNotAppliedAndASnapshotIsRequested() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        publisher.update(removal(FIRST, SECOND, 4, servers(2)));
        assertFirstStateKept(publisher);
        assertEquals(List.of(new WatchMessage.Interest(SERVICE, Revision.NONE, 0)), publisher.interests().stream()
                .map(one -> new WatchMessage.Interest(one.service(), one.heldRevision(), 0)).toList());
    }

    @Test
    void aSnapshotWithAWrongDigestIsNotApplied() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        ServiceChange.Snapshot right = snapshot(SECOND, servers(3));
        publisher.update(new ServiceChange.Snapshot(new ServiceState(SERVICE, SECOND,
                right.state().digest() + 1, right.state().endpoints(), "")));
        assertFirstStateKept(publisher);
    }

    @Test
    void contentOfAnEarlierEpochOrRevisionIsNotApplied() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        publisher.update(snapshot(new Revision(1, 99), servers(3)));
        publisher.update(snapshot(new Revision(2, 9), servers(3)));
        publisher.update(new ServiceChange.Absent(SERVICE, new Revision(1, 100)));
        assertFirstStateKept(publisher);
    }

    @Test
    void anIncompletePublisherRemovesNeitherAServiceNorMostOfItsServers() {
        ScriptedPublisher publisher = withSnapshotInForce(false);
        publisher.update(snapshot(SECOND, servers(1)));
        publisher.update(new ServiceChange.Absent(SERVICE, THIRD));
        assertFirstStateKept(publisher);
        assertTrue(publisher.client.counters().withheld() >= 2);
    }

    @Test
    void withheldChangesComeIntoForceOnceThePublisherIsComplete() {
        ScriptedPublisher publisher = withSnapshotInForce(false);
        publisher.update(snapshot(SECOND, servers(1)));
        assertFirstStateKept(publisher);
        publisher.send(new WatchMessage.Status(new PublisherStatus(true, THIRD, Duration.ZERO)));
        publisher.advance();
        boolean isRequested = !publisher.interests().isEmpty();
        if (isRequested) {
            publisher.update(snapshot(SECOND, servers(1)));
        }
        assertEquals(1, publisher.client.state(SERVICE).orElseThrow().endpoints().size());
    }

    @Test
    void aRemovedServiceIsNotRestoredAtAnEarlierRevision() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        publisher.client.watchEverything();
        publisher.advance();
        publisher.update(new ServiceChange.Absent(SERVICE, THIRD));
        publisher.send(new WatchMessage.Bookmark(FIRST));
        publisher.update(snapshot(SECOND, servers(3)));
        assertEquals(Optional.empty(), publisher.client.state(SERVICE));
        assertEquals(List.of(SERVICE), publisher.absent);
    }

    @Test
    void aRevisionIsNotInForceWhileASnapshotIsAwaited() {
        ScriptedPublisher publisher = withSnapshotInForce(true);
        publisher.update(removal(SECOND, THIRD, 4, servers(3)));
        publisher.send(new WatchMessage.Bookmark(THIRD));
        publisher.advance();
        assertEquals(Revision.NONE, publisher.client.inForce());
        publisher.update(snapshot(THIRD, servers(3)));
        publisher.send(new WatchMessage.Bookmark(THIRD));
        publisher.advance();
        assertEquals(THIRD, publisher.client.inForce());
    }
}
