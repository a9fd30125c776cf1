package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.ServiceReplica.Applied;
import pathlane.discovery.ServiceReplica.Ignored;
import pathlane.discovery.ServiceReplica.NeedsSnapshot;
import pathlane.discovery.ServiceReplica.Withheld;

class ServiceReplicaTest {

    private static final Revision FIRST = new Revision(1, 10);
    private static final Revision SECOND = new Revision(1, 11);
    private static final Revision THIRD = new Revision(1, 12);
    private static final ServiceState TEN = Samples.state(FIRST, Samples.endpoints(1, 10));

    private final ServiceReplica replica = new ServiceReplica(Samples.SERVICE);

    private void holdTen() {
        assertInstanceOf(Applied.class, replica.apply(new ServiceChange.Snapshot(TEN), true));
    }

    private List<ServerEndpoint> held() {
        return replica.state().orElseThrow().endpoints();
    }

    @Test
    void aMatchingDeltaChangesExactlyItsParts() {
        holdTen();
        ServerEndpoint draining = Samples.endpoint(4, ServerStatus.DRAINING);
        List<ServerEndpoint> after = List.of(Samples.endpoint(1), draining, Samples.endpoint(5), Samples.endpoint(11));
        ServiceChange.Delta delta = new ServiceChange.Delta(Samples.SERVICE, FIRST, SECOND, ServiceDigest.of(after, "slow"),
                List.of(Samples.endpoint(11), draining), List.of(2L, 3L, 6L, 7L, 8L, 9L, 10L), Optional.of("slow"));
        assertInstanceOf(Applied.class, replica.apply(delta, true));
        assertEquals(new ServiceState(Samples.SERVICE, SECOND, delta.digest(), after, "slow"),
                replica.state().orElseThrow());
    }

    @Test
    void aDeltaFromAnotherRevisionIsNeverApplied() {
        holdTen();
        ServiceState missed = Samples.state(SECOND, Samples.endpoints(1, 10));
        assertInstanceOf(NeedsSnapshot.class, replica.apply(Samples.adding(missed, THIRD, Samples.endpoint(11)), true));
        assertEquals(FIRST, replica.revision());
    }

    @Test
    void contentThatDiffersFromItsDigestIsNotApplied() {
        holdTen();
        ServiceState other = Samples.state(FIRST, Samples.endpoints(1, 9));
        assertInstanceOf(NeedsSnapshot.class, replica.apply(Samples.adding(other, SECOND, Samples.endpoint(11)), true));
        ServiceState spoilt = new ServiceState(Samples.SERVICE, SECOND, TEN.digest(), Samples.endpoints(1, 9), "");
        assertInstanceOf(NeedsSnapshot.class, replica.apply(new ServiceChange.Snapshot(spoilt), true));
        assertEquals(TEN, replica.state().orElseThrow());
    }

    @Test
    void changesThatAreNotNewerAreIgnoredAlsoFromAnEarlierEpoch() {
        replica.apply(Samples.snapshot(new Revision(2, 1), Samples.endpoints(1, 3)), true);
        assertInstanceOf(Ignored.class, replica.apply(Samples.snapshot(new Revision(1, 99), List.of()), true));
        assertInstanceOf(Ignored.class, replica.apply(new ServiceChange.Absent(Samples.SERVICE, new Revision(2, 1)), true));
        assertEquals(3, held().size());
    }

    @Test
    void anIncompletePublisherCanNotRemoveMostOfAService() {
        holdTen();
        assertInstanceOf(Withheld.class, replica.apply(Samples.snapshot(SECOND, Samples.endpoints(1, 4)), false));
        assertInstanceOf(Withheld.class, replica.apply(new ServiceChange.Absent(Samples.SERVICE, SECOND), false));
        assertEquals(10, held().size());
        assertInstanceOf(Applied.class, replica.apply(Samples.snapshot(SECOND, Samples.endpoints(1, 5)), false));
        assertInstanceOf(Applied.class, replica.apply(Samples.snapshot(THIRD, List.of()), true));
    }
}
