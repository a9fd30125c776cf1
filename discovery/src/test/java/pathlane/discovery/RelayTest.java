package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.discovery.WatchTerms.PublisherAddress;

/** Tests a chain of a source, two relays and a controller's client, over signed connections in virtual time. */
class RelayTest {

    private static final InetSocketAddress SOURCE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress UPPER = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress LOWER = new InetSocketAddress("127.0.0.1", 3);
    private static final Duration TICK = Duration.ofMillis(100);

    private final VirtualNetwork network = new VirtualNetwork();
    private final SplittableRandom random = new SplittableRandom(7);
    private Source source = source(1);
    private final Relay upper = relay("upper", SOURCE);
    private final Relay lower = relay("lower", UPPER);
    private final List<String> events = new ArrayList<>();
    private final WatchClient client = new WatchClient(terms("client", LOWER), network, network.common("client"),
            network.time, random.split(), new RecordingListener());

    private final class RecordingListener implements WatchListener {
        @Override
        public void changed(ServiceState state, ServiceChange change) {
            events.add(change.getClass().getSimpleName() + " " + state.revision() + " " + state.endpoints().size());
        }

        @Override
        public void absent(String service, Revision revision) {
            events.add("Absent " + revision);
        }

        @Override
        public void status(PublisherStatus status) {}
    }

    private static WatchTerms terms(String name, InetSocketAddress publisher) {
        return new WatchTerms(name, "a", "east", List.of(new PublisherAddress("publisher", publisher, "a", "east")),
                Duration.ofMillis(200), Duration.ofSeconds(2), Duration.ofSeconds(3), Duration.ofSeconds(30));
    }

    private Source source(long epoch) {
        Source started = new Source(epoch, PublisherTerms.DEFAULTS, network.common("source"), network.time, random.split());
        network.listen(SOURCE, started::accept);
        return started;
    }

    private Relay relay(String name, InetSocketAddress publisher) {
        return new Relay(terms(name, publisher), PublisherTerms.DEFAULTS, network.common(name), network, network.time,
                random.split());
    }

    @BeforeEach
    void startSourceRelaysAndClient() {
        source.catalogue().replace(Samples.SERVICE, Samples.endpoints(1, 10), "");
        source.catalogue().replace("other", Samples.endpoints(11, 20), "");
        source.catalogue().complete();
        network.listen(UPPER, upper::accept);
        network.listen(LOWER, lower::accept);
        upper.start();
        lower.start();
        client.watch(Samples.SERVICE);
        client.start();
        network.pass(Duration.ofSeconds(5));
    }

    private Revision remove(long id) {
        return source.catalogue().update(Samples.SERVICE, List.of(), List.of(id), Optional.empty());
    }

    @Test
    void aChangeReachesAControllerThroughTwoRelaysAsADeltaAndIsReportedBackToTheRoot() {
        assertEquals(List.of("Snapshot 1.1 10"), events);
        assertTrue(lower.catalogue().isComplete());
        Revision removed = remove(3);
        network.pass(TICK);
        assertEquals("Delta " + removed + " 9", events.get(1));
        network.pass(Duration.ofSeconds(5));
        assertEquals(removed, client.inForce());
        assertEquals(List.of(new ProgressReport.Level(removed, 1)), source.publisher().progress().levels());
        assertEquals(0, client.counters().gaps() + upper.upstream().counters().gaps());
    }

    @Test
    void aMissingServiceIsReportedAbsentAndSentWhenItIsAdded() {
        client.watch("late");
        network.pass(TICK);
        assertEquals("Absent 1.2", events.get(1));
        Revision added = source.catalogue().replace("late", Samples.endpoints(30, 31), "");
        network.pass(TICK);
        assertEquals("Snapshot " + added + " 2", events.get(2));
        client.unwatch("late");
        source.catalogue().remove("late");
        network.pass(Duration.ofSeconds(3));
        assertEquals(3, events.size());
        assertEquals(Optional.empty(), lower.catalogue().state("late"));
        assertEquals(source.catalogue().revision(), client.inForce());
    }

    @Test
    void aRelayWithoutItsSourceContinuesToServeAndReportsStaleness() {
        network.stopListening(SOURCE);
        source.publisher().close(CloseReason.SHUTDOWN);
        network.pass(Duration.ofSeconds(20));
        assertEquals(10, client.state(Samples.SERVICE).orElseThrow().endpoints().size());
        PublisherStatus status = client.status().orElseThrow();
        assertTrue(status.complete());
        assertTrue(status.staleFor().compareTo(Duration.ofSeconds(17)) > 0, status::toString);
        network.listen(SOURCE, source::accept);
        network.pass(Duration.ofSeconds(5));
        assertEquals(Duration.ZERO, client.status().orElseThrow().staleFor());
    }

    @Test
    void aRestartedSourceIsFollowedWithoutResendingUnchangedContent() {
        source.publisher().close(CloseReason.SHUTDOWN);
        Source former = source;
        source = source(2);
        source.catalogue().replace(Samples.SERVICE, Samples.endpoints(1, 10), "");
        source.catalogue().complete();
        network.pass(Duration.ofSeconds(5));
        assertEquals(List.of("Snapshot 1.1 10", "Delta 2.1 10"), events);
        assertEquals(new Revision(2, 1), client.inForce());
        assertEquals(Optional.empty(), lower.catalogue().state("other"));
        network.listen(SOURCE, former::accept);   // the old process was suspended and resumes
        source.publisher().close(CloseReason.SHUTDOWN);
        network.pass(Duration.ofSeconds(10));
        assertEquals(Optional.empty(), upper.upstream().publisher());
        assertEquals(new Revision(2, 1), client.inForce());
    }

    @Test
    void anEmptyRelayIsNotUsedBeforeItIsComplete() {
        network.stopListening(SOURCE);
        source.publisher().close(CloseReason.SHUTDOWN);
        lower.stop();
        Relay fresh = relay("fresh", SOURCE);
        network.listen(LOWER, fresh::accept);
        fresh.start();
        network.pass(Duration.ofSeconds(10));
        assertFalse(fresh.catalogue().isComplete());
        assertEquals(Optional.empty(), client.publisher());
        network.listen(SOURCE, source::accept);
        Revision removed = remove(3);
        network.pass(Duration.ofSeconds(10));
        assertEquals(removed, client.inForce());
        assertEquals("Delta " + removed + " 9", events.get(events.size() - 1).replace("Snapshot", "Delta"));
    }
}
