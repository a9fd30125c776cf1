package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Runs seeded schedules of discovery in virtual time and checks invariants. A failure reports its seed: {@code -Dseed=N}
 * runs that one alone and prints its trace; {@code -Dschedules=N} sets the number of schedules.
 */
class DiscoveryScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("schedules", 3_000);
    private static final int REPEATED_SEEDS = 20;
    private static final int MAX_FAILURES = 5;

    @BeforeAll
    static void disableLogging() {
        Logger root = LogManager.getLogManager().getLogger("");
        root.setLevel(Level.parse(System.getProperty("pathlane.log", "OFF")));
    }

    @Test
    void everyScheduleKeepsTheInvariantsAndConverges() {
        Long singleSeed = Long.getLong("seed");
        if (singleSeed != null) {
            assertEquals("", new DiscoverySchedule(singleSeed, System.out::println).run().orElse(""));
            return;
        }
        Map<Long, String> failures = new ConcurrentSkipListMap<>();
        LongStream.rangeClosed(1, SCHEDULES).parallel().filter(seed -> failures.size() < MAX_FAILURES)
                .forEach(seed -> run(seed).ifPresent(description -> failures.put(seed, description)));
        assertEquals(Map.of(), new TreeMap<>(failures));
    }

    private static Optional<String> run(long seed) {
        try {
            return new DiscoverySchedule(seed).run();
        } catch (RuntimeException e) {
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            return Optional.of(trace.toString());
        }
    }

    @Test
    void aSeedGivesTheSameEventsInEveryRun() {
        for (long seed = 1; seed <= REPEATED_SEEDS; seed++) {
            DiscoverySchedule first = new DiscoverySchedule(seed);
            DiscoverySchedule second = new DiscoverySchedule(seed);
            first.run();
            second.run();
            assertEquals(first.traceHash(), second.traceHash(), "seed " + seed);
        }
    }
}
