package pathlane.lab.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One seeded schedule: contents change while one to four faults occur in a simulated fleet, some of them at once. Then all
 * faults are cleared, and every controller must converge with the source and be reported so in bounded virtual time.
 */
public final class DiscoverySchedule {

    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(20);
    /** Three tiers each forward a bookmark once a second, and two tiers report once a second. */
    private static final Duration SINGLE_CHANGE_TIMEOUT = Duration.ofMillis(5_500);
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(2);
    private static final int MAX_FAULTS = 4;

    private final DiscoveryFleet fleet;
    private final SplittableRandom random;
    private final FaultInjector faultInjector;
    private final List<FaultInjector.Kind> injectedFaults = new ArrayList<>();

    /** Creates a schedule that gives its result and the hash of its trace only. */
    public DiscoverySchedule(long seed) {
        this(seed, Optional.empty());
    }

    /** Creates a schedule whose trace is passed to a reader line by line. */
    public DiscoverySchedule(long seed, Consumer<String> reader) {
        this(seed, Optional.of(reader));
    }

    private DiscoverySchedule(long seed, Optional<Consumer<String>> reader) {
        this.fleet = new DiscoveryFleet(FleetShape.small(seed), seed, reader);
        this.random = new SplittableRandom(~seed);
        this.faultInjector = new FaultInjector(fleet, random.split());
    }

    /** Runs the schedule once. Returns the first violated invariant and the injected faults, or empty if all held. */
    public Optional<String> run() {
        fleet.startAll();
        Optional<String> violation = awaitConvergence(CONVERGENCE_TIMEOUT, "after the start");
        if (violation.isEmpty()) {
            makeChanges(4);
            injectFaults();
            faultInjector.clearAll();
            makeChanges(2);
            violation = awaitConvergence(CONVERGENCE_TIMEOUT, "after all faults were cleared");
        }
        if (violation.isEmpty()) {
            violation = checkSingleChange();
        }
        return violation.map(description -> description + "\nafter " + injectedFaults);
    }

    /** Returns the hash of all events; equal in two runs of one seed. */
    public long traceHash() {
        return fleet.trace().hash();
    }

    private void injectFaults() {
        int number = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < number; i++) {
            injectedFaults.add(faultInjector.inject());
            if (random.nextBoolean()) {
                makeChanges(1 + random.nextInt(6));
            }
        }
        makeChanges(2 + random.nextInt(10));
        fleet.advance(millis(0, 6_000));
    }

    private void makeChanges(int number) {
        for (int i = 0; i < number && fleet.violations().isEmpty(); i++) {
            int atOnce = random.nextInt(8) == 0 ? 12 : 1;
            for (int j = 0; j < atOnce; j++) {
                fleet.change(ServiceContents::randomChange);
            }
            fleet.advance(millis(1, 400));
        }
    }

    /** Checks that without faults a change is soon in force everywhere, and that no controller is counted early. */
    private Optional<String> checkSingleChange() {
        fleet.change(contents -> contents.addService(2));
        String service = List.copyOf(fleet.contents().services().keySet()).get(0);
        fleet.change(contents -> contents.configure(service));
        Optional<String> violation = awaitConvergence(SINGLE_CHANGE_TIMEOUT, "after one change in an undisturbed fleet");
        if (violation.isEmpty()) {
            fleet.advance(QUIET_PERIOD);
            fleet.progress().checkUndisturbed();
            violation = fleet.violations().first().or(() -> fleet.lag().map(lag -> "it diverged again: " + lag));
        }
        return violation;
    }

    private Optional<String> awaitConvergence(Duration within, String when) {
        boolean isConverged = fleet.advanceUntil(within, fleet::isConverged);
        return fleet.violations().first().or(() -> isConverged ? Optional.empty()
                : Optional.of("not converged " + within + " " + when + ": " + fleet.lag().orElse("")));
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(random.nextInt(from, to));
    }
}
