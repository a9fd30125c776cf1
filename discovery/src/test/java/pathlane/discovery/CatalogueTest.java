package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.discovery.Samples.endpoint;
import static pathlane.discovery.Samples.endpoints;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.ServiceChange.Delta;
import pathlane.discovery.ServiceChange.Snapshot;

class CatalogueTest {

    private static Catalogue startedCatalogue(int historyChanges) {
        Catalogue catalogue = new Catalogue(historyChanges);
        catalogue.beginEpoch(1);
        return catalogue;
    }

    @Test
    void eachChangeGetsTheNextRevisionUnlessNothingDiffers() {
        Catalogue catalogue = startedCatalogue(10);
        assertEquals(new Revision(1, 1), catalogue.replace("a", endpoints(1, 2), "x"));
        assertEquals(new Revision(1, 1), catalogue.replace("a", endpoints(1, 2), "x"));
        assertEquals(new Revision(1, 2), catalogue.update("a", List.of(), List.of(2L), Optional.empty()));
        assertEquals(new Revision(1, 3), catalogue.remove("a"));
        assertEquals(new Revision(1, 3), catalogue.remove("a"));
        assertThrows(IllegalArgumentException.class, () -> catalogue.beginEpoch(1));
        catalogue.beginEpoch(2);
        assertEquals(new Revision(2, 1), catalogue.replace("a", List.of(), ""));
        assertEquals(List.of("a"), catalogue.services());
    }

    @Test
    void anEndpointThatIsGoneIsRemoved() {
        Catalogue catalogue = startedCatalogue(10);
        catalogue.replace("a", endpoints(1, 2), "");
        catalogue.update("a", List.of(endpoint(1, ServerStatus.GONE)), List.of(), Optional.empty());
        assertEquals(endpoints(2, 2), catalogue.state("a").orElseThrow().endpoints());
    }

    @Test
    void theDigestIsThatOfTheContentAfterAnyChanges() {
        Random random = new Random(3);
        Catalogue catalogue = startedCatalogue(10);
        Map<Long, ServerEndpoint> content = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            ServerEndpoint endpoint = endpoint(random.nextInt(20), ServerStatus.values()[random.nextInt(2)]);
            if (random.nextBoolean()) {
                content.put(endpoint.id(), endpoint);
                catalogue.update("a", List.of(endpoint), List.of(), Optional.of("c" + i / 100));
            } else {
                content.remove(endpoint.id());
                catalogue.update("a", List.of(), List.of(endpoint.id()), Optional.of("c" + i / 100));
            }
            List<ServerEndpoint> shuffled = new ArrayList<>(content.values());
            Collections.shuffle(shuffled, random);
            assertEquals(ServiceDigest.of(shuffled, "c" + i / 100), catalogue.state("a").orElseThrow().digest());
        }
    }

    @Test
    void theDigestDependsOnEveryField() {
        ServerEndpoint one = endpoint(1);
        long digest = ServiceDigest.of(List.of(one), "");
        InetSocketAddress address = one.address();
        for (ServerEndpoint other : List.of(new ServerEndpoint(2, address, ServerStatus.RUNNING, 1, 1, Instant.EPOCH),
                new ServerEndpoint(1, new InetSocketAddress("127.0.0.2", address.getPort()), ServerStatus.RUNNING, 1, 1,
                        Instant.EPOCH),
                new ServerEndpoint(1, new InetSocketAddress("127.0.0.1", 1), ServerStatus.RUNNING, 1, 1, Instant.EPOCH),
                new ServerEndpoint(1, address, ServerStatus.DRAINING, 1, 1, Instant.EPOCH),
                new ServerEndpoint(1, address, ServerStatus.RUNNING, 2, 1, Instant.EPOCH),
                new ServerEndpoint(1, address, ServerStatus.RUNNING, 1, 2, Instant.EPOCH),
                new ServerEndpoint(1, address, ServerStatus.RUNNING, 1, 1, Instant.ofEpochSecond(0, 1)))) {
            assertNotEquals(digest, ServiceDigest.of(List.of(other), ""));
        }
        assertNotEquals(digest, ServiceDigest.of(List.of(one), "x"));
    }

    @Test
    void theHistoryMergesAllChangesSinceARevisionIntoOneDelta() {
        Catalogue catalogue = startedCatalogue(100);
        Revision from = catalogue.replace("a", endpoints(1, 3), "x");
        catalogue.update("a", List.of(endpoint(4), endpoint(5)), List.of(1L), Optional.empty());
        catalogue.replace("b", endpoints(1, 3), "");
        catalogue.update("a", List.of(endpoint(2, ServerStatus.DRAINING)), List.of(5L), Optional.of("y"));
        ServiceState now = catalogue.state("a").orElseThrow();
        assertEquals(Optional.of(new Delta("a", from, now.revision(), now.digest(),
                List.of(endpoint(2, ServerStatus.DRAINING), endpoint(4)), List.of(1L, 5L), Optional.of("y"))),
                deltaSince(catalogue, from));
        assertEquals(Optional.empty(), deltaSince(catalogue, new Revision(1, 9)));
    }

    private static Optional<Delta> deltaSince(Catalogue catalogue, Revision from) {
        return catalogue.deltaSince(catalogue.entry("a"), from);
    }

    @Test
    void theHistoryIsBoundedInChangesAndChangedEndpoints() {
        Catalogue catalogue = startedCatalogue(10);
        Revision from = catalogue.replace("a", endpoints(1, 3), "");
        for (int i = 0; i < 5; i++) {
            catalogue.update("a", List.of(endpoint(10 + i)), List.of(), Optional.empty());
        }
        assertTrue(deltaSince(catalogue, from).isPresent());
        catalogue.replace("b", List.of(), "");
        catalogue.update("b", List.of(), List.of(), Optional.of("one more"));
        assertTrue(deltaSince(catalogue, from).isEmpty());
        assertTrue(deltaSince(catalogue, new Revision(1, 2)).isPresent());
        catalogue.update("b", endpoints(1, 50), List.of(), Optional.empty());
        assertTrue(deltaSince(catalogue, new Revision(1, 6)).isEmpty());
    }

    @Test
    void aServiceAddedAgainHasNoEarlierHistory() {
        Catalogue catalogue = startedCatalogue(100);
        Revision from = catalogue.replace("a", endpoints(1, 3), "");
        catalogue.update("a", List.of(endpoint(4)), List.of(), Optional.empty());
        catalogue.remove("a");
        catalogue.replace("a", endpoints(7, 8), "");
        assertTrue(deltaSince(catalogue, from).isEmpty());
    }

    @Test
    void aRelaysCatalogueFollowsItsUpstreamAndIgnoresOldChanges() {
        Catalogue source = startedCatalogue(100);
        Catalogue relay = new Catalogue(100);
        List<Revision> advanced = new ArrayList<>();
        relay.addListener(new CatalogueListener() {
            @Override
            public void changed(String service, Revision revision, boolean removesOrDrains) {}

            @Override
            public void advanced(Revision revision) {
                advanced.add(revision);
            }
        });
        Revision from = source.replace("a", endpoints(1, 3), "x");
        ServiceState first = source.state("a").orElseThrow();
        relay.apply(first, new Snapshot(first));
        assertEquals(Revision.NONE, relay.revision());
        source.update("a", List.of(endpoint(4)), List.of(1L), Optional.of("y"));
        ServiceState second = source.state("a").orElseThrow();
        relay.apply(second, deltaSince(source, from).orElseThrow());
        assertEquals(Optional.of(second), relay.state("a"));
        assertEquals(deltaSince(source, from), deltaSince(relay, from), "the relay's own subscribers get deltas too");
        relay.apply(first, new Snapshot(first));
        assertEquals(Optional.of(second), relay.state("a"));
        relay.advance(second.revision());
        relay.advance(first.revision());
        assertEquals(List.of(second.revision()), advanced);
        Revision removedAt = source.remove("a");
        relay.applyAbsent("a", removedAt);
        relay.apply(second, new Snapshot(second));
        assertEquals(Optional.empty(), relay.state("a"));
        assertEquals(removedAt, relay.absentSince("a"));
    }

    @Test
    void aRelayForwardsASnapshotAsADelta() {
        Catalogue source = startedCatalogue(1);
        Catalogue relay = new Catalogue(100);
        Revision from = source.replace("a", endpoints(1, 3), "");
        ServiceState first = source.state("a").orElseThrow();
        relay.apply(first, new Snapshot(first));
        source.replace("a", endpoints(2, 4), "");
        ServiceState second = source.state("a").orElseThrow();
        relay.apply(second, new Snapshot(second));
        assertEquals(Optional.of(new Delta("a", from, second.revision(), second.digest(), endpoints(4, 4), List.of(1L),
                Optional.empty())), deltaSince(relay, from));
    }

    @Test
    void invalidContentIsRejectedWithoutAnyChange() {
        Catalogue catalogue = startedCatalogue(10);
        ServerEndpoint weightless =
                new ServerEndpoint(1, endpoint(1).address(), ServerStatus.RUNNING, 0, Double.NaN, Instant.EPOCH);
        assertThrows(IllegalArgumentException.class, () -> catalogue.replace("", List.of(), ""));
        assertThrows(IllegalArgumentException.class, () -> catalogue.replace("x".repeat(65), List.of(), ""));
        assertThrows(IllegalArgumentException.class, () -> catalogue.replace("a", List.of(weightless), ""));
        List<ServerEndpoint> many = LongStream.range(0, 65_537).mapToObj(id -> new ServerEndpoint(id, endpoint(1).address(),
                ServerStatus.RUNNING, 0, 1, Instant.EPOCH)).toList();
        assertThrows(IllegalArgumentException.class, () -> catalogue.replace("a", many, ""));
        assertThrows(IllegalArgumentException.class, () -> catalogue.replace("a", List.of(), "x".repeat(70_000)));
        assertEquals(List.of(), catalogue.services());
        assertEquals(new Revision(1, 0), catalogue.revision());
    }
}
