package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.lab.discovery.FleetAssertions.SERVICE;
import static pathlane.lab.discovery.FleetAssertions.SOON;
import static pathlane.lab.discovery.FleetAssertions.TERMS;
import static pathlane.lab.discovery.FleetAssertions.comesInStep;
import static pathlane.lab.discovery.FleetAssertions.configure;
import static pathlane.lab.discovery.FleetAssertions.cut;
import static pathlane.lab.discovery.FleetAssertions.fleet;
import static pathlane.lab.discovery.FleetAssertions.keepsInvariants;
import static pathlane.lab.discovery.FleetAssertions.millisUntil;
import static pathlane.lab.discovery.FleetAssertions.snapshots;
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

/** Failures of sources, relays and links, each brought about on purpose in a fleet in virtual time. */
class DiscoveryHardCasesTest {

    @BeforeAll
    static void quiet() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    @Test
    void aRelayThatStartsEmptyAndCutOffTakesNoServiceAway() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        RelayProcess relay = fleet.zoneRelays().get(0);
        cut(fleet, relay, fleet.regionRelays().get(0));
        relay.kill();
        relay.start();
        keepsInvariants(fleet, SOON);
        assertFalse(relay.relay().catalogue().isComplete());
        assertEquals(before, fleet.controllers().stream().map(FleetAssertions::states).toList());
    }

    @Test
    void aSourceThatIsStillLoadingTakesNoServiceAway() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        fleet.source().kill();
        fleet.source().start();
        fleet.until(SOON, () -> fleet.source().catalogue().services().size() == 1);
        fleet.source().stop();
        keepsInvariants(fleet, Duration.ofSeconds(2));
        List<Map<String, ServiceState>> after = fleet.controllers().stream().map(FleetAssertions::states).toList();
        assertEquals(before.stream().map(Map::keySet).toList(), after.stream().map(Map::keySet).toList());
        fleet.source().goOn();
        comesInStep(fleet, SOON);
    }

    @Test
    void controllersKeepTheirLastStateWhenEveryPublisherIsGone() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(FleetAssertions::states).toList();
        fleet.source().kill();
        fleet.regionRelays().forEach(FleetProcess::kill);
        fleet.zoneRelays().forEach(FleetProcess::kill);
        keepsInvariants(fleet, Duration.ofMinutes(5));
        assertEquals(before, fleet.controllers().stream().map(FleetAssertions::states).toList());
        fleet.startAll();
        comesInStep(fleet, SOON);
    }

    @Test
    void controllersHearHowOldTheStateIsThatARelayWithoutItsSourceServes() {
        DiscoveryFleet fleet = fleet(2);
        fleet.source().kill();
        keepsInvariants(fleet, Duration.ofSeconds(30));
        Duration stale = fleet.controllers().get(0).lastStatus().orElseThrow().staleFor();
        assertTrue(stale.compareTo(Duration.ofSeconds(25)) > 0 && stale.compareTo(Duration.ofSeconds(31)) < 0, "" + stale);
        fleet.source().start();
        comesInStep(fleet, SOON);
        keepsInvariants(fleet, Duration.ofSeconds(3));
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
        keepsInvariants(fleet, Duration.ofSeconds(3));
        assertEquals(before, states(controller));
    }

    @Test
    void aSourceThatBeganAnewWithTheSameContentSendsNoSnapshot() {
        DiscoveryFleet fleet = fleet(4);
        long before = snapshots(fleet);
        fleet.source().kill();
        cut(fleet, fleet.source(), fleet.regionRelays().get(0));
        fleet.source().start();
        assertTrue(fleet.until(SOON, () -> fleet.source().catalogue().isComplete()));
        fleet.faults().restoreAll();
        comesInStep(fleet, SOON);
        assertEquals(before, snapshots(fleet));
        assertEquals(2, fleet.controllers().get(0).client().inForce().epoch());
    }

    @Test
    void aSourceThatBeganAnewWithOtherContentIsBelieved() {
        DiscoveryFleet fleet = fleet(4);
        fleet.source().kill();
        fleet.change(contents -> contents.removeMost(SERVICE));
        fleet.change(contents -> contents.configure(SERVICE));
        fleet.change(contents -> contents.removeService("service-2"));
        fleet.source().start();
        comesInStep(fleet, SOON);
        assertEquals(1, fleet.controllers().get(0).servers(SERVICE).size());
    }

    @Test
    void aRelayLeftOnTheOldEpochDoesNotPassOldContentForNew() {
        DiscoveryFleet fleet = fleet(1, 2, 4, TERMS);
        RelayProcess left = fleet.zoneRelays().get(0);
        RelayProcess other = fleet.zoneRelays().get(1);
        cut(fleet, left, fleet.regionRelays().get(0));
        fleet.source().kill();
        fleet.change(contents -> contents.removeServer(SERVICE));
        fleet.source().start();
        fleet.until(SOON, () -> fleet.controllers().stream()
                .anyMatch(one -> one.revision(SERVICE).epoch() == 2));
        ControllerProcess moved = fleet.controllers().stream().filter(one -> one.revision(SERVICE).epoch() == 2)
                .findFirst().orElseThrow();
        other.kill();
        keepsInvariants(fleet, SOON);
        assertEquals(Optional.empty(), moved.client().publisher());
        assertEquals(2, moved.revision(SERVICE).epoch());
        fleet.faults().restoreAll();
        other.start();
        comesInStep(fleet, Duration.ofSeconds(20));
    }

    @Test
    void aLostConnectionIsResumedWithWhatChangedAndNoSnapshot() {
        DiscoveryFleet fleet = fleet(3);
        long before = snapshots(fleet);
        RelayProcess relay = fleet.zoneRelays().get(0);
        fleet.controllers().forEach(one -> fleet.faults().reset(one.name(), relay.name()));
        fleet.change(contents -> contents.removeServer(SERVICE));
        comesInStep(fleet, SOON);
        assertEquals(before, snapshots(fleet));
    }

    @Test
    void aHalfOpenConnectionIsGivenUpForAnotherRelay() {
        DiscoveryFleet fleet = fleet(1, 2, 2, TERMS);
        ControllerProcess controller = fleet.controllers().get(0);
        String first = controller.client().publisher().orElseThrow();
        fleet.faults().cut(first, controller.name());
        long after = millisUntil(fleet, () -> !controller.client().publisher().equals(Optional.of(first))
                && controller.client().publisher().isPresent());
        assertTrue(after <= DiscoveryFleet.SILENT_AFTER.toMillis() + 2_500, after + " ms");
        fleet.change(contents -> contents.removeServer(SERVICE));
        comesInStep(fleet, Duration.ofSeconds(15));
    }

    @Test
    void aControllerThatMovedIsCountedOnceAgainOnceItsFormerRelayHasNoticed() {
        DiscoveryFleet fleet = fleet(1, 2, 4, TERMS);
        ControllerProcess controller = fleet.controllers().get(0);
        String first = controller.client().publisher().orElseThrow();
        fleet.faults().partition(controller.name(), first);
        fleet.change(contents -> contents.configure(SERVICE));
        keepsInvariants(fleet, TERMS.deadAfter().plusSeconds(8));
        assertEquals(Optional.empty(), fleet.lag());
    }

    @Test
    void lateBytesOfAConnectionThatWasGivenUpChangeNothing() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess controller = fleet.controllers().get(0);
        String relay = fleet.zoneRelays().get(0).name();
        fleet.faults().delay(relay, controller.name(), Duration.ofSeconds(2));
        fleet.faults().delay(controller.name(), relay, Duration.ofSeconds(2));
        configure(fleet, 4);
        fleet.pass(Duration.ofMillis(200));
        fleet.faults().delay(relay, controller.name(), Duration.ZERO);
        fleet.faults().delay(controller.name(), relay, Duration.ZERO);
        fleet.faults().halfClose(controller.name(), relay);
        fleet.change(contents -> contents.removeServer(SERVICE));
        comesInStep(fleet, SOON);
        keepsInvariants(fleet, SOON);
        assertEquals(0, controller.client().counters().gaps());
    }

    @Test
    void aRegionThatWasCutOffAndBackIsInStepWithoutSnapshots() {
        DiscoveryFleet fleet = fleet(2, 1, 6, TERMS);
        long before = snapshots(fleet);
        List<FleetProcess> inside = fleet.processes().stream().filter(one -> one.region().equals("r2")).toList();
        List<FleetProcess> outside = fleet.processes().stream().filter(one -> !one.region().equals("r2")).toList();
        inside.forEach(one -> outside.forEach(other -> cut(fleet, one, other)));
        fleet.change(contents -> contents.removeServer(SERVICE));
        keepsInvariants(fleet, Duration.ofMinutes(5));
        assertTrue(inside.stream().filter(one -> one instanceof ControllerProcess)
                .allMatch(one -> ((ControllerProcess) one).client().publisher().isPresent()));
        fleet.faults().restoreAll();
        comesInStep(fleet, SOON);
        assertEquals(before, snapshots(fleet));
    }
}
