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
 * Seeded schedules of discovery in virtual time, with invariants. A failing seed names itself: {@code -Dseed=N} plays it
 * alone and prints its trace; {@code -Dschedules=N} plays so many.
 */
class DiscoveryScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("schedules", 3_000);
    private static final int PLAYED_TWICE = 20;
    private static final int MOST_BROKEN = 5;

    @BeforeAll
    static void quiet() {
        Logger root = LogManager.getLogManager().getLogger("");
        root.setLevel(Level.parse(System.getProperty("pathlane.log", "OFF")));
    }

    @Test
    void everyScheduleKeepsTheInvariantsAndEndsInStep() {
        Long one = Long.getLong("seed");
        if (one != null) {
            assertEquals("", new DiscoverySchedule(one, System.out::println).play().orElse(""));
            return;
        }
        Map<Long, String> broken = new ConcurrentSkipListMap<>();
        LongStream.rangeClosed(1, SCHEDULES).parallel().filter(seed -> broken.size() < MOST_BROKEN)
                .forEach(seed -> play(seed).ifPresent(what -> broken.put(seed, what)));
        assertEquals(Map.of(), new TreeMap<>(broken));
    }

    private static Optional<String> play(long seed) {
        try {
            return new DiscoverySchedule(seed).play();
        } catch (RuntimeException e) {
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            return Optional.of(trace.toString());
        }
    }

    @Test
    void aSeedGivesTheSameEventsEachTimeItIsPlayed() {
        for (long seed = 1; seed <= PLAYED_TWICE; seed++) {
            DiscoverySchedule first = new DiscoverySchedule(seed);
            DiscoverySchedule second = new DiscoverySchedule(seed);
            first.play();
            second.play();
            assertEquals(first.traceHash(), second.traceHash(), "seed " + seed);
        }
    }
}
