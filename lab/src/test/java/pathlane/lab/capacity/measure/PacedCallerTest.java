package pathlane.lab.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PacedCallerTest {

    private static final int CALLS = 20;
    private static final long LATE_MILLIS = 50;

    @Test
    void aCallsLatencyRunsFromWhenItWasMeantToBeAsked() throws IOException, InterruptedException {
        try (StandInPlatform platform = new StandInPlatform();
                PacedCaller caller = new PacedCaller(platform.serverPort(), true)) {
            for (int call = 1; call <= CALLS; call++) {
                caller.ask(call, 0, System.nanoTime() - Duration.ofMillis(LATE_MILLIS).toNanos());
            }
            while (caller.open() > 0) {
                Thread.sleep(1);
            }
            Histogram latencies = caller.takeLatencies();
            assertEquals(CALLS, caller.answered());
            assertEquals(CALLS, latencies.getTotalCount());
            assertTrue(latencies.getMinValue() >= Duration.ofMillis(LATE_MILLIS).toNanos() / 1_000 - 100);
            assertTrue(platform.toldByServers().messages() >= CALLS);
        }
    }

    @Test
    void aStepThatIsLateDoesNotMoveThoseThatFollow() throws IOException {
        List<Long> meant = new ArrayList<>();
        Pace.run(1_000, Duration.ofMillis(5), at -> {
            meant.add(at);
            if (meant.size() == 1) {
                sleep();
            }
        });
        assertEquals(List.of(1_000_000L, 1_000_000L, 1_000_000L, 1_000_000L), List.of(meant.get(1) - meant.get(0),
                meant.get(2) - meant.get(1), meant.get(3) - meant.get(2), meant.get(4) - meant.get(3)));
    }

    private static void sleep() {
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
