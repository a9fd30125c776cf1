package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.lab.discovery.FleetAssertions.SERVICE;
import static pathlane.lab.discovery.FleetAssertions.SOON;
import static pathlane.lab.discovery.FleetAssertions.TERMS;
import static pathlane.lab.discovery.FleetAssertions.comesInStep;
import static pathlane.lab.discovery.FleetAssertions.configure;
import static pathlane.lab.discovery.FleetAssertions.connected;
import static pathlane.lab.discovery.FleetAssertions.cut;
import static pathlane.lab.discovery.FleetAssertions.fleet;
import static pathlane.lab.discovery.FleetAssertions.keepsInvariants;
import static pathlane.lab.discovery.FleetAssertions.millisUntil;

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

/** What many or slow subscribers cost, and how their load is spread, in a fleet in virtual time. */
class DiscoveryLoadTest {

    @BeforeAll
    static void quiet() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    @Test
    void whoIsFurtherBehindThanTheHistoryIsSentASnapshotOfWhatChanged() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess behind = fleet.controllers().get(0);
        long before = behind.client().counters().snapshots();
        cut(fleet, behind, fleet.zoneRelays().get(0));
        configure(fleet, 3 * TERMS.historyChanges());
        keepsInvariants(fleet, SOON);
        fleet.faults().restoreAll();
        comesInStep(fleet, SOON);
        assertEquals(before + 1, behind.client().counters().snapshots());
    }

    @Test
    void aRegionTakesEachChangeOnceHoweverManyControllersItHas() {
        assertEquals(updatesFromSource(2), updatesFromSource(12));
    }

    @Test
    void aSnapshotIsEncodedOnceForAllWhoAreSentIt() {
        DiscoveryFleet fleet = fleet(12);
        PublisherCounters before = fleet.zoneRelays().get(0).relay().publisher().counters();
        fleet.controllers().forEach(FleetProcess::kill);
        fleet.startAll();
        comesInStep(fleet, SOON);
        PublisherCounters after = fleet.zoneRelays().get(0).relay().publisher().counters();
        assertTrue(after.snapshotsSent() - before.snapshotsSent() >= 12, "" + after);
        assertTrue(after.snapshotsEncoded() - before.snapshotsEncoded() <= fleet.shape().services(), "" + after);
    }

    @Test
    void afterTheLossOfEveryConnectionWatchesAreAdmittedAtTheStatedRate() {
        int controllers = 24;
        PublisherTerms terms = new PublisherTerms(40, 4, 2, 1_200, 400, 24, Duration.ofSeconds(1), Duration.ofSeconds(4));
        DiscoveryFleet fleet = fleet(1, 1, controllers, terms);
        RelayProcess relay = fleet.zoneRelays().get(0);
        keepsInvariants(fleet, Duration.ofSeconds(3));
        fleet.controllers().forEach(one -> fleet.faults().reset(one.name(), relay.name()));
        long refused = relay.relay().publisher().counters().refused();
        keepsInvariants(fleet, Duration.ofSeconds(2));
        assertTrue(relay.relay().publisher().counters().refused() > refused);
        comesInStep(fleet, Duration.ofSeconds(12));
        assertEquals(controllers, connected(fleet).size());
    }

    @Test
    void aSlowSubscriberIsSentTheNewestStateAndNotEachChange() {
        DiscoveryFleet fleet = fleet(2);
        ControllerProcess slow = fleet.controllers().get(0);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), 300);
        long before = slow.client().counters().deltas() + slow.client().counters().snapshots();
        configure(fleet, 600);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), 0);
        comesInStep(fleet, SOON);
        long received = slow.client().counters().deltas() + slow.client().counters().snapshots() - before;
        assertTrue(received < 60, received + " updates");
    }

    @Test
    void aRemovalOvertakesWhatWaitsForASlowSubscriber() {
        int services = 40;
        int bytesEachSecond = 300;
        DiscoveryFleet fleet = new DiscoveryFleet(new FleetShape(1, 1, 1, 1, services, 2, TERMS), 7);
        ControllerProcess slow = fleet.controllers().get(0);
        fleet.contents().services().keySet().forEach(slow::watch);
        fleet.startAll();
        comesInStep(fleet, SOON);
        fleet.faults().throttle(fleet.zoneRelays().get(0).name(), slow.name(), bytesEachSecond);
        for (int i = 2; i <= services; i++) {
            String other = "service-" + i;
            fleet.change(contents -> contents.configure(other));
        }
        ServiceContents.Change[] removal = new ServiceContents.Change[1];
        fleet.change(contents -> removal[0] = contents.removeServer(SERVICE));
        long server = removal[0].removed().get(0);
        long withdrawnAfter = millisUntil(fleet, () -> !slow.wouldSendTo(SERVICE, server));
        // What is under way goes first, and no more than that.
        long underWay = TERMS.unacknowledgedBytes() * 1_000L / bytesEachSecond;
        assertTrue(withdrawnAfter <= underWay + 1_500, withdrawnAfter + " ms");
        comesInStep(fleet, Duration.ofSeconds(30));
    }

    @Test
    void controllersGoBackToTheirZoneOneByOne() {
        DiscoveryFleet fleet = fleet(2, 1, 10, TERMS);
        RelayProcess own = fleet.zoneRelays().get(0);
        own.kill();
        fleet.pass(Duration.ofSeconds(1));
        assertTrue(fleet.until(SOON, () -> connected(fleet).size() == 10));
        own.start();
        Map<String, Long> returns = new HashMap<>();
        long begin = (long) fleet.world().nowMs();
        boolean areBack = fleet.until(Duration.ofSeconds(20), () -> {
            fleet.controllers().stream().filter(one -> one.zone().equals(own.zone()))
                    .filter(one -> one.client().publisher().equals(Optional.of(own.name())))
                    .forEach(one -> returns.putIfAbsent(one.name(), (long) fleet.world().nowMs() - begin));
            return returns.size() == 5;
        });
        assertTrue(areBack, "" + returns);
        assertTrue(new TreeSet<>(returns.values()).size() >= 3, "a herd: " + returns);
        comesInStep(fleet, SOON);
    }

    @Test
    void theSlowestControllersAreNamedAtTheSource() {
        DiscoveryFleet fleet = fleet(4);
        ControllerProcess stopped = fleet.controllers().get(2);
        stopped.stop();
        fleet.change(contents -> contents.configure(SERVICE));
        keepsInvariants(fleet, Duration.ofMillis(3_500));
        var progress = fleet.source().source().publisher().progress();
        assertEquals(stopped.name(), progress.slowest().get(0).name(), "" + progress);
        stopped.goOn();
        comesInStep(fleet, SOON);
    }

    private static long updatesFromSource(int controllers) {
        DiscoveryFleet fleet = fleet(1, 2, controllers, TERMS);
        long before = fleet.regionRelays().get(0).relay().upstream().counters().deltas();
        for (int i = 0; i < 10; i++) {
            fleet.change(contents -> contents.configure(SERVICE));
            keepsInvariants(fleet, Duration.ofMillis(500));
        }
        comesInStep(fleet, SOON);
        return fleet.regionRelays().get(0).relay().upstream().counters().deltas() - before;
    }
}
