package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.lab.discovery.FleetAssertions.CONVERGENCE_TIMEOUT;
import static pathlane.lab.discovery.FleetAssertions.SERVICE;
import static pathlane.lab.discovery.FleetAssertions.TERMS;
import static pathlane.lab.discovery.FleetAssertions.assertConverges;
import static pathlane.lab.discovery.FleetAssertions.assertInvariantsHold;
import static pathlane.lab.discovery.FleetAssertions.configure;
import static pathlane.lab.discovery.FleetAssertions.connected;
import static pathlane.lab.discovery.FleetAssertions.fleet;
import static pathlane.lab.discovery.FleetAssertions.millisUntil;
import static pathlane.lab.discovery.FleetAssertions.partition;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import pathlane.discovery.PublisherCounters;
import pathlane.discovery.PublisherTerms;

/** Load caused by many or slow subscribers, and its distribution, in a fleet in virtual time. */
class DiscoveryLoadTest {

    @BeforeAll
    static void disableLogging() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    @Test
    void aSubscriberBehindTheHistoryReceivesASnapshotOfChangedServices() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess behind = fleet.controllers().get(0);
        long before = behind.client().counters().snapshots();
        partition(fleet, behind, fleet.zoneRelays().get(0));
        configure(fleet, 3 * TERMS.historyChanges());
        assertInvariantsHold(fleet, CONVERGENCE_TIMEOUT);
        fleet.faults().restoreAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        assertEquals(before + 1, behind.client().counters().snapshots());
    }

    @Test
    void aRegionReceivesEachChangeOnceRegardlessOfItsControllers() {
        assertEquals(updatesFromSource(2), updatesFromSource(12));
    }

    @Test
    void aSnapshotIsEncodedOnceForAllItsReceivers() {
        DiscoveryFleet fleet = fleet(12);
        PublisherCounters before = fleet.zoneRelays().get(0).relay().publisher().counters();
        fleet.controllers().forEach(FleetProcess::kill);
        fleet.startAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        PublisherCounters after = fleet.zoneRelays().get(0).relay().publisher().counters();
        assertTrue(after.snapshotsSent() - before.snapshotsSent() >= 12, "" + after);
        assertTrue(after.snapshotsEncoded() - before.snapshotsEncoded() <= fleet.shape().services(), "" + after);
    }

    @Test
    void afterTheLossOfEveryConnectionWatchesAreAdmittedAtTheConfiguredRate() {
        int controllers = 24;
        PublisherTerms terms = new PublisherTerms(40, 4, 2, 1_200, 400, 24, Duration.ofSeconds(1), Duration.ofSeconds(4));
        DiscoveryFleet fleet = fleet(1, 1, controllers, terms);
        RelayProcess relay = fleet.zoneRelays().get(0);
        assertInvariantsHold(fleet, Duration.ofSeconds(3));
        fleet.controllers().forEach(one -> fleet.faults().reset(one.name(), relay.name()));
        long refused = relay.relay().publisher().counters().refused();
        assertInvariantsHold(fleet, Duration.ofSeconds(2));
        assertTrue(relay.relay().publisher().counters().refused() > refused);
        assertConverges(fleet, Duration.ofSeconds(12));
        assertEquals(controllers, connected(fleet).size());
    }

    @Test
    void aSlowSubscriberReceivesTheNewestStateInsteadOfEachChange() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess slow = fleet.controllers().get(0);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), 300);
        long before = slow.client().counters().deltas() + slow.client().counters().snapshots();
        configure(fleet, 600);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), 0);
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        long received = slow.client().counters().deltas() + slow.client().counters().snapshots() - before;
        assertTrue(received < 60, received + " updates");
    }

    @Test
    void aRemovalOvertakesChangesQueuedForASlowSubscriber() {
        int services = 40;
        int bytesPerSecond = 300;
        DiscoveryFleet fleet = new DiscoveryFleet(new FleetShape(1, 1, 1, 1, services, 2, TERMS), 7);
        ControllerProcess slow = fleet.controllers().get(0);
        fleet.contents().services().keySet().forEach(slow::watch);
        fleet.startAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), bytesPerSecond);
        for (int i = 2; i <= services; i++) {
            String other = "service-" + i;
            fleet.change(contents -> contents.configure(other));
        }
        ServiceContents.Change[] removal = new ServiceContents.Change[1];
        fleet.change(contents -> removal[0] = contents.removeServer(SERVICE));
        long server = removal[0].removed().get(0);
        long withdrawnAfter = millisUntil(fleet, () -> !slow.wouldSendTo(SERVICE, server));
        // Only the bytes already in flight are delivered before the removal.
        long millisInFlight = TERMS.unacknowledgedBytes() * 1_000L / bytesPerSecond;
        assertTrue(withdrawnAfter <= millisInFlight + 1_500, withdrawnAfter + " ms");
        assertConverges(fleet, Duration.ofSeconds(30));
    }

    @Test
    void controllersReturnToTheirZoneAtDifferentTimes() {
        DiscoveryFleet fleet = fleet(2, 1, 10, TERMS);
        RelayProcess own = fleet.zoneRelays().get(0);
        own.kill();
        fleet.advance(Duration.ofSeconds(1));
        assertTrue(fleet.advanceUntil(CONVERGENCE_TIMEOUT, () -> connected(fleet).size() == 10));
        own.start();
        Map<String, Long> returns = new HashMap<>();
        long start = (long) fleet.virtualTime().nowMs();
        boolean haveReturned = fleet.advanceUntil(Duration.ofSeconds(20), () -> {
            fleet.controllers().stream().filter(one -> one.zone().equals(own.zone()))
                    .filter(one -> one.client().publisher().equals(Optional.of(own.name())))
                    .forEach(one -> returns.putIfAbsent(one.name(), (long) fleet.virtualTime().nowMs() - start));
            return returns.size() == 5;
        });
        assertTrue(haveReturned, "" + returns);
        assertTrue(new TreeSet<>(returns.values()).size() >= 3, "they return at the same time: " + returns);
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
    }

    @Test
    void theSourceReportsTheSlowestControllers() {
        DiscoveryFleet fleet = fleet(4);
        ControllerProcess paused = fleet.controllers().get(2);
        paused.pause();
        fleet.change(contents -> contents.configure(SERVICE));
        assertInvariantsHold(fleet, Duration.ofMillis(3_500));
        var progress = fleet.source().source().publisher().progress();
        assertEquals(paused.name(), progress.slowest().get(0).name(), "" + progress);
        paused.resume();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
    }

    private static long updatesFromSource(int controllers) {
        DiscoveryFleet fleet = fleet(1, 2, controllers, TERMS);
        long before = fleet.regionRelays().get(0).relay().upstream().counters().deltas();
        for (int i = 0; i < 10; i++) {
            fleet.change(contents -> contents.configure(SERVICE));
            assertInvariantsHold(fleet, Duration.ofMillis(500));
        }
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        return fleet.regionRelays().get(0).relay().upstream().counters().deltas() - before;
    }
}
