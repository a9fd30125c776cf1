package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WatchAdmissionTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Test
    void aBurstIsAdmittedAndThenTheRate() {
        WatchAdmission admission = new WatchAdmission(10, 5, START, new Random(1));
        int admitted = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            admitted += admission.admit(START.plusMillis(millis)).isEmpty() ? 1 : 0;
        }
        assertEquals(5 + 99, admitted, 1);
    }

    @Test
    void clientsThatRetryAfterTheirDelayAreAdmittedNearlyAtTheRateWithFewAttempts() {
        WatchAdmission admission = new WatchAdmission(200, 100, START, new Random(1));
        PriorityQueue<Instant> arrivals = new PriorityQueue<>();
        for (int i = 0; i < 2_000; i++) {
            arrivals.add(START);
        }
        int tries = 0;
        Instant last = START;
        while (!arrivals.isEmpty()) {
            Instant now = arrivals.remove();
            tries++;
            Optional<Duration> comeBack = admission.admit(now);
            comeBack.ifPresent(wait -> arrivals.add(now.plus(wait)));
            last = comeBack.isPresent() ? last : now;
        }
        Duration took = Duration.between(START, last);
        assertTrue(took.toMillis() >= 9_490 && took.toMillis() < 16_000, took.toString());
        assertTrue(tries < 3 * 2_000, tries + " tries");
    }

    @Test
    void retryDelaysExceedTheMaximumOnlyByTheJitter() {
        WatchAdmission admission = new WatchAdmission(1, 1, START, new Random(1));
        List<Duration> waits = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            admission.admit(START).ifPresent(waits::add);
        }
        assertTrue(waits.stream().allMatch(wait -> wait.toMillis() <= 37_500), waits.toString());
    }
}
