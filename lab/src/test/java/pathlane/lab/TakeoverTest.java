package pathlane.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Takeover of a dead controller's calls, in virtual time with the real components. */
class TakeoverTest {

    @BeforeAll
    static void configureLogging() {
        LogManager.getLogManager().getLogger("").setLevel(Level.parse(System.getProperty("pathlane.log", "OFF")));
    }

    @Test
    void callsOfADeadControllerAreAdoptedWithinTwoLeaseLengths() {
        long maxMillis = VirtualTakeover.measureAdoption(4, 200, 3).getMaxValue();
        assertTrue(maxMillis < 2 * 3000, "it took " + maxMillis + " ms");
    }

    @Test
    void recordsDroppedWithoutAQuorumAreReplicatedAgainOnceThereIsOne() {
        VirtualFleet fleet = new VirtualFleet(new VirtualFleet.Shape(4, 2, 3, 3, pathlane.group.LeaseTerms.DEFAULT,
                Duration.ofMillis(5), Duration.ZERO, 20_000), 3);
        assertTrue(
                fleet.advanceUntil(Duration.ofSeconds(30),
                        () -> fleet.running().stream().allMatch(one -> one.handover.isReplicated())));
        fleet.clients().connect("n1");
        fleet.world().advance(20);
        for (int i = 0; i < 20; i++) {
            fleet.clients().requestCall("n1", i % 2, "status-check", Duration.ofSeconds(6));
            fleet.world().advance(50);
        }
        int established = fleet.clients().established().size();
        assertTrue(established > 10, established + " are established");
        long token = fleet.controllers().get(0).handover.token();
        fleet.voters().subList(0, 2).forEach(voter -> voter.time().stop());
        assertTrue(fleet.advanceUntil(Duration.ofSeconds(10),
                () -> fleet.running().stream().noneMatch(one -> one.handover.isLeaseValid())));
        fleet.world().advance(2000);
        fleet.voters().subList(0, 2).forEach(voter -> voter.time().resume());
        assertTrue(
                fleet.advanceUntil(Duration.ofSeconds(20),
                        () -> fleet.running().stream().allMatch(one -> one.handover.isReplicated())));
        assertEquals(token, fleet.controllers().get(0).handover.token(), "its lease survived the loss of the quorum");
        fleet.controllers().get(0).kill();
        assertTrue(
                fleet.advanceUntil(Duration.ofSeconds(10),
                        () -> fleet.running().stream().mapToLong(one -> one.handover.adoptedCount())
                                .sum() == established),
                "adopted: " + fleet.running().stream().mapToLong(one -> one.handover.adoptedCount()).sum());
    }

    @Test
    void idleTrafficIsMeasuredInThreeDirections() {
        assertEquals(3, VirtualTakeover.measureIdleTraffic(5, 10).size());
    }

    @Test
    void adoptedCallsAreSpreadAndAdoptedAtTheConfiguredRate() {
        VirtualFleet fleet = new VirtualFleet(new VirtualFleet.Shape(10, 2, 3, 3, pathlane.group.LeaseTerms.DEFAULT,
                Duration.ofMillis(5), Duration.ZERO, 100), 5);
        assertTrue(
                fleet.advanceUntil(Duration.ofSeconds(30),
                        () -> fleet.running().stream().allMatch(one -> one.handover.isReplicated())));
        fleet.controllers().forEach(one -> fleet.clients().connect(one.name));
        fleet.world().advance(20);
        for (int i = 0; i < 40; i++) {
            for (int n = 1; n <= 10; n++) {
                fleet.clients().requestCall("n" + n, i % 2, "status-check", Duration.ofSeconds(6));
            }
            fleet.world().advance(100);
        }
        int established = fleet.clients().established().size();
        assertTrue(
                fleet.advanceUntil(Duration.ofSeconds(5),
                        () -> fleet.running().stream().allMatch(one -> one.handover.isReplicated())));
        long callsOfKilled =
                fleet.controllers().subList(0, 7).stream().mapToLong(one -> one.front.controller().establishedCalls()).sum();
        fleet.controllers().subList(0, 7).forEach(VirtualFleet.Controller::kill);
        long adoptedBefore = 0;
        for (int millis = 0; millis < 20_000; millis += 100) {
            fleet.world().advance(100);
            long adoptedNow = fleet.running().stream().mapToLong(one -> one.handover.adoptedCount()).sum();
            assertTrue(adoptedNow - adoptedBefore <= 3 * 11,
                    (adoptedNow - adoptedBefore) + " calls in 100 ms by three, each limited to 100 a second");
            adoptedBefore = adoptedNow;
        }
        // Three replicas of each record, and seven of ten die: a shard's calls are lost if all its replica holders died.
        assertTrue(adoptedBefore > callsOfKilled / 2 && adoptedBefore <= callsOfKilled,
                adoptedBefore + " of " + callsOfKilled + " were adopted, " + established
                        + " established in total");
        for (VirtualFleet.Controller one : fleet.running()) {
            for (int server = 1; server <= 2; server++) {
                assertTrue(fleet.faults().openConnections(one.name, "s" + server) <= 4, "connections from " + one.name);
            }
        }
    }
}
