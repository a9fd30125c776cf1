package pathlane.lab.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One seeded schedule: contents change while one to four things go wrong in a virtual fleet, some of them at once; then all
 * is made well, and every controller must come in step with the source, and be counted so, in bounded virtual time.
 */
public final class DiscoverySchedule {

    private static final Duration IN_STEP_WITHIN = Duration.ofSeconds(20);
    /** Three tiers pass a bookmark on once a second each, and two report once a second. */
    private static final Duration ONE_CHANGE_WITHIN = Duration.ofMillis(5_500);
    private static final Duration CALM = Duration.ofSeconds(2);
    private static final int MOST_TROUBLES = 4;

    private final DiscoveryFleet fleet;
    private final SplittableRandom random;
    private final Troubles troubles;
    private final List<Troubles.Kind> begun = new ArrayList<>();

    /** A schedule of which only the verdict and the hash of the trace are wanted. */
    public DiscoverySchedule(long seed) {
        this(seed, Optional.empty());
    }

    /** A schedule whose trace is read line by line. */
    public DiscoverySchedule(long seed, Consumer<String> reader) {
        this(seed, Optional.of(reader));
    }

    private DiscoverySchedule(long seed, Optional<Consumer<String>> reader) {
        this.fleet = new DiscoveryFleet(FleetShape.small(seed), seed, reader);
        this.random = new SplittableRandom(~seed);
        this.troubles = new Troubles(fleet, random.split());
    }

    /** Plays it once; empty where every invariant held, else the first that did not, and what had gone wrong. */
    public Optional<String> play() {
        fleet.startAll();
        Optional<String> broken = inStep(IN_STEP_WITHIN, "at the beginning");
        if (broken.isEmpty()) {
            changes(4);
            trouble();
            troubles.end();
            changes(2);
            broken = inStep(IN_STEP_WITHIN, "after all was made well");
        }
        if (broken.isEmpty()) {
            broken = oneChange();
        }
        return broken.map(what -> what + "\nafter " + begun);
    }

    /** The hash of everything that happened; equal in two plays of one seed. */
    public long traceHash() {
        return fleet.trace().hash();
    }

    private void trouble() {
        int number = 1 + random.nextInt(MOST_TROUBLES);
        for (int i = 0; i < number; i++) {
            begun.add(troubles.begin());
            if (random.nextBoolean()) {
                changes(1 + random.nextInt(6));
            }
        }
        changes(2 + random.nextInt(10));
        fleet.pass(millis(0, 6_000));
    }

    private void changes(int number) {
        for (int i = 0; i < number && fleet.violations().isEmpty(); i++) {
            int atOnce = random.nextInt(8) == 0 ? 12 : 1;
            for (int j = 0; j < atOnce; j++) {
                fleet.change(ServiceContents::change);
            }
            fleet.pass(millis(1, 400));
        }
    }

    /** In an undisturbed fleet a change is in force everywhere soon, and nobody is counted too early. */
    private Optional<String> oneChange() {
        fleet.change(contents -> contents.addService(2));
        String service = List.copyOf(fleet.contents().services().keySet()).get(0);
        fleet.change(contents -> contents.configure(service));
        Optional<String> broken = inStep(ONE_CHANGE_WITHIN, "after one change in an undisturbed fleet");
        if (broken.isEmpty()) {
            fleet.pass(CALM);
            fleet.progress().checkCalm();
            broken = fleet.violations().first().or(() -> fleet.lag().map(lag -> "it left step again: " + lag));
        }
        return broken;
    }

    private Optional<String> inStep(Duration within, String when) {
        boolean isInStep = fleet.until(within, fleet::isInStep);
        return fleet.violations().first().or(() -> isInStep ? Optional.empty()
                : Optional.of("not in step " + within + " " + when + ": " + fleet.lag().orElse("")));
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(random.nextInt(from, to));
    }
}
