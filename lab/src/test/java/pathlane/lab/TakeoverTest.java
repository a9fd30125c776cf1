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
    static void quiet() {
        LogManager.getLogManager().getLogger("").setLevel(Level.parse(System.getProperty("pathlane.log", "OFF")));
    }

    @Test
    void callsOfOneThatDiedAreOwnedAgainWithinTwoLeasesThoughItNeverComesBack() {
        long most = VirtualTakeover.owned(4, 200, 3).getMaxValue();
        assertTrue(most < 2 * 3000, "it took " + most + " ms");
    }

    @Test
    void recordsThatKeepersDroppedForWantOfAgreementAreKeptAgainOnceThereIsOne() {
        VirtualFleet fleet = new VirtualFleet(new VirtualFleet.Shape(4, 2, 3, 3, pathlane.group.LeaseTerms.DEFAULT,
                Duration.ofMillis(5), Duration.ZERO, 20_000), 3);
        assertTrue(
                fleet.until(Duration.ofSeconds(30), () -> fleet.up().stream().allMatch(one -> one.handover.isReplicated())));
        fleet.caller().connect("n1");
        fleet.world().pass(20);
        for (int i = 0; i < 20; i++) {
            fleet.caller().ask("n1", i % 2, "status-check", Duration.ofSeconds(6));
            fleet.world().pass(50);
        }
        int standing = fleet.caller().standing().size();
        assertTrue(standing > 10, standing + " are established");
        long token = fleet.controllers().get(0).handover.token();
        fleet.voters().subList(0, 2).forEach(voter -> voter.time().stop());
        assertTrue(fleet.until(Duration.ofSeconds(10),
                () -> fleet.up().stream().noneMatch(one -> one.handover.isLeaseValid())));
        fleet.world().pass(2000);
        fleet.voters().subList(0, 2).forEach(voter -> voter.time().goOn());
        assertTrue(
                fleet.until(Duration.ofSeconds(20), () -> fleet.up().stream().allMatch(one -> one.handover.isReplicated())));
        assertEquals(token, fleet.controllers().get(0).handover.token(), "its lease survived the loss of the quorum");
        fleet.controllers().get(0).kill();
        assertTrue(fleet.until(Duration.ofSeconds(10), () -> fleet.up().stream().mapToLong(one -> one.handover.adopted())
                .sum() == standing), "adopted: " + fleet.up().stream().mapToLong(one -> one.handover.adopted()).sum());
    }

    @Test
    void idleMembersKeepRecordsWhereTheRegisterLooksForThem() {
        assertEquals(3, VirtualTakeover.idle(5, 10).size());
    }

    @Test
    void whatIsTakenOverIsSpreadAndGoneOnWithAtTheStatedPace() {
        VirtualFleet fleet = new VirtualFleet(new VirtualFleet.Shape(10, 2, 3, 3, pathlane.group.LeaseTerms.DEFAULT,
                Duration.ofMillis(5), Duration.ZERO, 100), 5);
        assertTrue(
                fleet.until(Duration.ofSeconds(30), () -> fleet.up().stream().allMatch(one -> one.handover.isReplicated())));
        fleet.controllers().forEach(one -> fleet.caller().connect(one.name));
        fleet.world().pass(20);
        for (int i = 0; i < 40; i++) {
            for (int n = 1; n <= 10; n++) {
                fleet.caller().ask("n" + n, i % 2, "status-check", Duration.ofSeconds(6));
            }
            fleet.world().pass(100);
        }
        int standing = fleet.caller().standing().size();
        assertTrue(
                fleet.until(Duration.ofSeconds(5), () -> fleet.up().stream().allMatch(one -> one.handover.isReplicated())));
        long theirs =
                fleet.controllers().subList(0, 7).stream().mapToLong(one -> one.front.controller().establishedCalls()).sum();
        fleet.controllers().subList(0, 7).forEach(VirtualFleet.Controller::kill);
        long before = 0;
        for (int millis = 0; millis < 20_000; millis += 100) {
            fleet.world().pass(100);
            long now = fleet.up().stream().mapToLong(one -> one.handover.adopted()).sum();
            assertTrue(now - before <= 3 * 11, (now - before) + " calls in 100 ms by three, each limited to 100 a second");
            before = now;
        }
        // Three replicas of each record, and seven of ten die: a shard's calls are lost if all its replica holders died.
        assertTrue(before > theirs / 2 && before <= theirs, before + " of " + theirs + " were adopted, " + standing
                + " established in total");
        for (VirtualFleet.Controller one : fleet.up()) {
            for (int server = 1; server <= 2; server++) {
                assertTrue(fleet.faults().open(one.name, "s" + server) <= 4, "connections from " + one.name);
            }
        }
    }
}
