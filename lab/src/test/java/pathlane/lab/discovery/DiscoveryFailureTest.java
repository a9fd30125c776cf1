package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.lab.discovery.FleetAssertions.CONVERGENCE_TIMEOUT;
import static pathlane.lab.discovery.FleetAssertions.SERVICE;
import static pathlane.lab.discovery.FleetAssertions.TERMS;
import static pathlane.lab.discovery.FleetAssertions.assertConverges;
import static pathlane.lab.discovery.FleetAssertions.assertInvariantsHold;
import static pathlane.lab.discovery.FleetAssertions.configure;
import static pathlane.lab.discovery.FleetAssertions.fleet;
import static pathlane.lab.discovery.FleetAssertions.millisUntil;
import static pathlane.lab.discovery.FleetAssertions.partition;
import static pathlane.lab.discovery.FleetAssertions.receivedSnapshots;
import static pathlane.lab.discovery.FleetAssertions.states;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import pathlane.discovery.ServiceState;

/** Directed failures of sources, relays and links in a fleet in virtual time. */
class DiscoveryFailureTest {

    @BeforeAll
    static void disableLogging() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    @Test
    void aRelayThatStartsEmptyAndDisconnectedRemovesNoService() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        RelayProcess relay = fleet.zoneRelays().get(0);
        partition(fleet, relay, fleet.regionRelays().get(0));
        relay.kill();
        relay.start();
        assertInvariantsHold(fleet, CONVERGENCE_TIMEOUT);
        assertFalse(relay.relay().catalogue().isComplete());
        assertEquals(before, fleet.controllers().stream().map(FleetAssertions::states).toList());
    }

    @Test
    void aSourceThatIsStillLoadingRemovesNoService() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        fleet.source().kill();
        fleet.source().start();
        fleet.advanceUntil(CONVERGENCE_TIMEOUT, () -> fleet.source().catalogue().services().size() == 1);
        fleet.source().pause();
        assertInvariantsHold(fleet, Duration.ofSeconds(2));
        List<Map<String, ServiceState>> after = fleet.controllers().stream().map(FleetAssertions::states).toList();
        assertEquals(before.stream().map(Map::keySet).toList(), after.stream().map(Map::keySet).toList());
        fleet.source().resume();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
    }

    @Test
    void controllersKeepTheirLastStateWhenEveryPublisherIsGone() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        fleet.source().kill();
        fleet.regionRelays().forEach(FleetProcess::kill);
        fleet.zoneRelays().forEach(FleetProcess::kill);
        assertInvariantsHold(fleet, Duration.ofMinutes(5));
        assertEquals(before, fleet.controllers().stream().map(FleetAssertions::states).toList());
        fleet.startAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
    }

    @Test
    void controllersLearnTheAgeOfTheStateOfARelayWithoutItsSource() {
        DiscoveryFleet fleet = fleet(2);
        fleet.source().kill();
        assertInvariantsHold(fleet, Duration.ofSeconds(30));
        Duration stale = fleet.controllers().get(0).lastStatus().orElseThrow().staleFor();
        assertTrue(stale.compareTo(Duration.ofSeconds(25)) > 0 && stale.compareTo(Duration.ofSeconds(31)) < 0, "" + stale);
        fleet.source().start();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertInvariantsHold(fleet, Duration.ofSeconds(3));
        assertEquals(Duration.ZERO, fleet.controllers().get(0).lastStatus().orElseThrow().staleFor());
    }

    @Test
    void aControllerThatStartsWhileTheSourceIsGoneIsServedTheRelaysLastState() {
        DiscoveryFleet fleet = fleet(2);
        fleet.source().kill();
        ControllerProcess controller = fleet.controllers().get(0);
        Map<String, ServiceState> before = states(controller);
        controller.kill();
        controller.start();
        assertInvariantsHold(fleet, Duration.ofSeconds(3));
        assertEquals(before, states(controller));
    }

    @Test
    void aSourceRestartedWithTheSameContentSendsNoSnapshot() {
        DiscoveryFleet fleet = fleet(4);
        long before = receivedSnapshots(fleet);
        fleet.source().kill();
        partition(fleet, fleet.source(), fleet.regionRelays().get(0));
        fleet.source().start();
        assertTrue(fleet.advanceUntil(CONVERGENCE_TIMEOUT, () -> fleet.source().catalogue().isComplete()));
        fleet.faults().restoreAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(before, receivedSnapshots(fleet));
        assertEquals(2, fleet.controllers().get(0).client().inForce().epoch());
    }

    @Test
    void controllersApplyTheContentOfASourceRestartedWithOtherContent() {
        DiscoveryFleet fleet = fleet(4);
        fleet.source().kill();
        fleet.change(contents -> contents.removeMost(SERVICE));
        fleet.change(contents -> contents.configure(SERVICE));
        fleet.change(contents -> contents.removeService("service-2"));
        fleet.source().start();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(1, fleet.controllers().get(0).servers(SERVICE).size());
    }

    @Test
    void aRelayOnAnOldEpochDoesNotReplaceNewerContent() {
        DiscoveryFleet fleet = fleet(1, 2, 4, TERMS);
        RelayProcess isolated = fleet.zoneRelays().get(0);
        RelayProcess other = fleet.zoneRelays().get(1);
        partition(fleet, isolated, fleet.regionRelays().get(0));
        fleet.source().kill();
        fleet.change(contents -> contents.removeServer(SERVICE));
        fleet.source().start();
        fleet.advanceUntil(CONVERGENCE_TIMEOUT, () -> fleet.controllers().stream()
                .anyMatch(one -> one.revision(SERVICE).epoch() == 2));
        ControllerProcess moved = fleet.controllers().stream().filter(one -> one.revision(SERVICE).epoch() == 2)
                .findFirst().orElseThrow();
        other.kill();
        assertInvariantsHold(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(Optional.empty(), moved.client().publisher());
        assertEquals(2, moved.revision(SERVICE).epoch());
        fleet.faults().restoreAll();
        other.start();
        assertConverges(fleet, Duration.ofSeconds(20));
    }

    @Test
    void aLostConnectionIsResumedWithWhatChangedAndNoSnapshot() {
        DiscoveryFleet fleet = fleet(3);
        long before = receivedSnapshots(fleet);
        RelayProcess relay = fleet.zoneRelays().get(0);
        fleet.controllers().forEach(one -> fleet.faults().reset(one.name(), relay.name()));
        fleet.change(contents -> contents.removeServer(SERVICE));
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(before, receivedSnapshots(fleet));
    }

    @Test
    void aHalfOpenConnectionIsReplacedByAnotherRelay() {
        DiscoveryFleet fleet = fleet(1, 2, 2, TERMS);
        ControllerProcess controller = fleet.controllers().get(0);
        String first = controller.client().publisher().orElseThrow();
        fleet.faults().block(first, controller.name());
        long after = millisUntil(fleet, () -> !controller.client().publisher().equals(Optional.of(first))
                && controller.client().publisher().isPresent());
        assertTrue(after <= DiscoveryFleet.SILENCE_TIMEOUT.toMillis() + 2_500, after + " ms");
        fleet.change(contents -> contents.removeServer(SERVICE));
        assertConverges(fleet, Duration.ofSeconds(15));
    }

    @Test
    void aMovedControllerIsCountedOnceAfterItsFormerRelayDetectsTheLoss() {
        DiscoveryFleet fleet = fleet(1, 2, 4, TERMS);
        ControllerProcess controller = fleet.controllers().get(0);
        String first = controller.client().publisher().orElseThrow();
        fleet.faults().partition(controller.name(), first);
        fleet.change(contents -> contents.configure(SERVICE));
        assertInvariantsHold(fleet, TERMS.acknowledgeTimeout().plusSeconds(8));
        assertEquals(Optional.empty(), fleet.lag());
    }

    @Test
    void lateBytesOfAnAbandonedConnectionAreIgnored() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess controller = fleet.controllers().get(0);
        String relay = fleet.zoneRelays().get(0).name();
        fleet.faults().delay(relay, controller.name(), Duration.ofSeconds(2));
        fleet.faults().delay(controller.name(), relay, Duration.ofSeconds(2));
        configure(fleet, 4);
        fleet.advance(Duration.ofMillis(200));
        fleet.faults().delay(relay, controller.name(), Duration.ZERO);
        fleet.faults().delay(controller.name(), relay, Duration.ZERO);
        fleet.faults().halfOpen(controller.name(), relay);
        fleet.change(contents -> contents.removeServer(SERVICE));
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertInvariantsHold(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(0, controller.client().counters().gaps());
    }

    @Test
    void aRegionConvergesWithoutSnapshotsAfterAPartition() {
        DiscoveryFleet fleet = fleet(2, 1, 6, TERMS);
        long before = receivedSnapshots(fleet);
        List<FleetProcess> inside = fleet.processes().stream().filter(one -> one.region().equals("r2")).toList();
        List<FleetProcess> outside = fleet.processes().stream().filter(one -> !one.region().equals("r2")).toList();
        inside.forEach(one -> outside.forEach(other -> partition(fleet, one, other)));
        fleet.change(contents -> contents.removeServer(SERVICE));
        assertInvariantsHold(fleet, Duration.ofMinutes(5));
        assertTrue(inside.stream().filter(one -> one instanceof ControllerProcess)
                .allMatch(one -> ((ControllerProcess) one).client().publisher().isPresent()));
        fleet.faults().restoreAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(before, receivedSnapshots(fleet));
    }
}
