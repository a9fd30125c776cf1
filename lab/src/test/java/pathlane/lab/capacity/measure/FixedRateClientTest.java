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
class FixedRateClientTest {

    private static final int CALLS = 20;
    private static final long LATE_MILLIS = 50;

    @Test
    void aCallsLatencyIsMeasuredFromItsScheduledTime() throws IOException, InterruptedException {
        try (SimulatedPlatform platform = new SimulatedPlatform();
                FixedRateClient client = new FixedRateClient(platform.serverPort(), true)) {
            for (int call = 1; call <= CALLS; call++) {
                client.request(call, 0, System.nanoTime() - Duration.ofMillis(LATE_MILLIS).toNanos());
            }
            while (client.pending() > 0) {
                Thread.sleep(1);
            }
            Histogram latencies = client.takeLatencies();
            assertEquals(CALLS, client.answered());
            assertEquals(CALLS, latencies.getTotalCount());
            assertTrue(latencies.getMinValue() >= Duration.ofMillis(LATE_MILLIS).toNanos() / 1_000 - 100);
            assertTrue(platform.sentByServers().messages() >= CALLS);
        }
    }

    @Test
    void aLateStepDoesNotDelayTheScheduleOfLaterSteps() throws IOException {
        List<Long> scheduledNanos = new ArrayList<>();
        FixedRate.run(1_000, Duration.ofMillis(5), at -> {
            scheduledNanos.add(at);
            if (scheduledNanos.size() == 1) {
                sleep();
            }
        });
        assertEquals(List.of(1_000_000L, 1_000_000L, 1_000_000L, 1_000_000L),
                List.of(scheduledNanos.get(1) - scheduledNanos.get(0),
                        scheduledNanos.get(2) - scheduledNanos.get(1), scheduledNanos.get(3) - scheduledNanos.get(2),
                        scheduledNanos.get(4) - scheduledNanos.get(3)));
    }

    private static void sleep() {
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
