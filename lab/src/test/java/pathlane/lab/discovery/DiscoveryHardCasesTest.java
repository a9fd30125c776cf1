package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import pathlane.discovery.PublisherCounters;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.ServiceState;

/** Hard cases of scoped watches, each brought about on purpose in a fleet in virtual time. */
class DiscoveryHardCasesTest {

    private static final Duration SOON = Duration.ofSeconds(10);
    private static final PublisherTerms TERMS = FleetShape.TIGHT;
    private static final String SERVICE = "service-1";

    @BeforeAll
    static void quiet() {
        LogManager.getLogManager().getLogger("").setLevel(Level.OFF);
    }

    private static DiscoveryFleet fleet(int regions, int relaysOfZone, int controllers, PublisherTerms terms) {
        DiscoveryFleet fleet = new DiscoveryFleet(new FleetShape(regions, 1, relaysOfZone, controllers, 3, 4, terms), 7);
        fleet.controllers().forEach(one -> one.watch(SERVICE));
        fleet.startAll();
        comesInStep(fleet, SOON);
        return fleet;
    }

    private static DiscoveryFleet fleet(int controllers) {
        return fleet(1, 1, controllers, TERMS);
    }

    private static void comesInStep(DiscoveryFleet fleet, Duration within) {
        boolean isInStep = fleet.until(within, fleet::isInStep);
        assertEquals(Optional.empty(), fleet.violations().first());
        assertTrue(isInStep, () -> fleet.lag().orElse(""));
    }

    private static void keepsInvariants(DiscoveryFleet fleet, Duration during) {
        fleet.pass(during);
        assertEquals(Optional.empty(), fleet.violations().first());
    }

    private static void cut(DiscoveryFleet fleet, FleetProcess one, FleetProcess other) {
        fleet.faults().partition(one.name(), other.name());
    }

    private static Map<String, ServiceState> states(ControllerProcess controller) {
        Map<String, ServiceState> states = new HashMap<>();
        controller.watched().forEach(service -> controller.client().state(service)
                .ifPresent(state -> states.put(service, state)));
        return states;
    }

    /** Snapshots that the controllers and the relays were sent. */
    private static long snapshots(DiscoveryFleet fleet) {
        long toRelays = Stream.concat(fleet.regionRelays().stream(), fleet.zoneRelays().stream())
                .mapToLong(one -> one.relay().upstream().counters().snapshots()).sum();
        return toRelays + fleet.controllers().stream().mapToLong(one -> one.client().counters().snapshots()).sum();
    }

    private static void configure(DiscoveryFleet fleet, int times) {
        for (int i = 0; i < times; i++) {
            fleet.change(contents -> contents.configure(SERVICE));
            fleet.pass(Duration.ofMillis(2));
        }
    }

    @Test
    void aRelayThatStartsEmptyAndCutOffTakesNoServiceAway() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList();
        RelayProcess relay = fleet.zoneRelays().get(0);
        cut(fleet, relay, fleet.regionRelays().get(0));
        relay.kill();
        relay.start();
        keepsInvariants(fleet, SOON);
        assertFalse(relay.relay().catalogue().isComplete());
        assertEquals(before, fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList());
    }

    @Test
    void aSourceThatIsStillLoadingTakesNoServiceAway() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList();
        fleet.source().kill();
        fleet.source().start();
        fleet.until(SOON, () -> fleet.source().catalogue().services().size() == 1);
        fleet.source().stop();
        keepsInvariants(fleet, Duration.ofSeconds(2));
        List<Map<String, ServiceState>> after = fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList();
        assertEquals(before.stream().map(Map::keySet).toList(), after.stream().map(Map::keySet).toList());
        fleet.source().goOn();
        comesInStep(fleet, SOON);
    }

    @Test
    void controllersKeepTheirLastStateWhenEveryPublisherIsGone() {
        DiscoveryFleet fleet = fleet(3);
        List<Map<String, ServiceState>> before = fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList();
        fleet.source().kill();
        fleet.regionRelays().forEach(FleetProcess::kill);
        fleet.zoneRelays().forEach(FleetProcess::kill);
        keepsInvariants(fleet, Duration.ofMinutes(5));
        assertEquals(before, fleet.controllers().stream().map(DiscoveryHardCasesTest::states).toList());
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

    private static Set<String> connected(DiscoveryFleet fleet) {
        Set<String> connected = new TreeSet<>();
        fleet.controllers().stream().filter(one -> one.client().publisher().isPresent())
                .forEach(one -> connected.add(one.name()));
        return connected;
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

    private static long millisUntil(DiscoveryFleet fleet, BooleanSupplier holds) {
        long begin = (long) fleet.world().nowMs();
        assertTrue(fleet.until(Duration.ofSeconds(60), holds));
        return (long) fleet.world().nowMs() - begin;
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
