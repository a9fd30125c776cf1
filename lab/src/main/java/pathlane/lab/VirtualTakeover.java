package pathlane.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import pathlane.group.LeaseTerms;
import pathlane.lab.VirtualFleet.Controller;

/** Measures takeover in virtual time: how long it takes until calls are adopted, and what an idle group sends. */
final class VirtualTakeover {

    private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(6);
    private static final String OWNER = "n1";
    /** Requests per 10 ms: fewer than a client's connection may send. */
    private static final int MAX_REQUESTS_PER_TICK = 40;
    private static final int SERVERS = 2;
    private static final int VOTERS = 3;
    private static final int REPLICAS = 3;
    private static final int TICK_MILLIS = 10;

    private VirtualTakeover() {}

    private static VirtualFleet fleet(int controllers, long seed) {
        VirtualFleet fleet =
                new VirtualFleet(new VirtualFleet.Shape(controllers, SERVERS, VOTERS, REPLICAS, LeaseTerms.DEFAULT,
                        Duration.ofMillis(5), Duration.ZERO, 20_000), seed);
        if (!fleet.advanceUntil(Duration.ofSeconds(60),
                () -> fleet.running().stream().allMatch(one -> one.handover.isReplicated()))) {
            throw new IllegalStateException("the group did not form");
        }
        return fleet;
    }

    /** Time in milliseconds from killing a controller with this many calls until the last of them is adopted. */
    static Histogram measureAdoption(int controllers, int calls, int runs) {
        Histogram times = new Histogram(3);
        for (int run = 1; run <= runs; run++) {
            VirtualFleet fleet = fleet(controllers, run);
            fleet.clients().connect(OWNER);
            fleet.world().advance(TICK_MILLIS);
            for (int tries = 0; fleet.clients().established().size() < calls; tries++) {
                int missing = calls - fleet.clients().established().size() - fleet.clients().pendingRequests();
                for (int i = Math.min(missing, MAX_REQUESTS_PER_TICK); i > 0; i--) {
                    fleet.clients().requestCall(OWNER, i % SERVERS, "status-check", REQUEST_DEADLINE);
                }
                fleet.world().advance(TICK_MILLIS);
                if (tries > calls) {
                    throw new IllegalStateException("the calls are not established");
                }
            }
            Controller owner = fleet.controllers().get(0);
            // Spreads the kills over the interval between two lease renewals.
            fleet.advanceUntil(Duration.ofSeconds(30), owner.handover::isReplicated);
            fleet.world().advance(run * LeaseTerms.DEFAULT.renewalInterval().toMillis() / runs);
            owner.kill();
            long waitedMillis = 0;
            while (fleet.running().stream().mapToLong(one -> one.handover.adoptedCount()).sum() < calls) {
                fleet.world().advance(TICK_MILLIS);
                waitedMillis += TICK_MILLIS;
                if (waitedMillis > Duration.ofMinutes(2).toMillis()) {
                    throw new IllegalStateException("not all calls were adopted");
                }
            }
            times.recordValue(waitedMillis);
        }
        return times;
    }

    /** Total bytes per second of a group of idle controllers: members to voters, voters to members, among members. */
    static List<Long> measureIdleTraffic(int controllers, int seconds) {
        VirtualFleet fleet = fleet(controllers, 1);
        fleet.world().advance(Duration.ofSeconds(20).toMillis());   // until the last member's records are replicated
        List<Long> before = bytesWritten(fleet);
        fleet.world().advance(Duration.ofSeconds(seconds).toMillis());
        List<Long> after = bytesWritten(fleet);
        List<Long> rates = new ArrayList<>();
        for (int i = 0; i < before.size(); i++) {
            rates.add((after.get(i) - before.get(i)) / seconds);
        }
        return rates;
    }

    private static List<Long> bytesWritten(VirtualFleet fleet) {
        return List.of(fleet.faults().bytes("n", "v"), fleet.faults().bytes("v", "n"), fleet.faults().bytes("n", "n"));
    }
}
