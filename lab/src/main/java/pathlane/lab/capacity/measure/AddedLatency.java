package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import pathlane.lab.Folders;

/**
 * Measures the latency that the built program adds to a call. Two clients send requests at the same rate in the same run,
 * one to the controller and one, half a step later, to the simulated server itself; the added latency is the difference of
 * the two distributions' quantiles. All listed servers have a connection, and all calls request one of the first three, so
 * that only the length of the list varies.
 */
final class AddedLatency {

    static final int[] RATES = {400, 2_400};

    private static final int[] LISTED = {3, 30, 300, 1_000, 3_000};
    private static final int REQUESTED_SERVERS = 3;
    private static final Duration SETTLING_TIME = Duration.ofMillis(1000);
    private static final Duration SETTLING_TIME_FOR_MANY_SERVERS = Duration.ofMillis(4500);
    private static final int MANY_SERVERS = 300;
    private static final Duration WARM_UP = Duration.ofMillis(1000);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(4);
    private static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(300);
    /** No latency is recorded if a smaller share of the rate is answered, because the queue only grows. */
    private static final double MIN_ANSWERED_SHARE = 0.99;
    private static final double NANOS_IN_SECOND = 1e9;

    private final Path home;
    private final Recorder recorder;
    private final int repetitions;
    private long calls;

    AddedLatency(Path home, Recorder recorder, int repetitions) {
        this.home = home;
        this.recorder = recorder;
        this.repetitions = repetitions;
    }

    /** Measures one rate at all sizes. */
    void measure(int rate) throws IOException, InterruptedException {
        for (int listed : LISTED) {
            Path folder = Files.createTempDirectory("pathlane-capacity");
            try (SimulatedPlatform platform = new SimulatedPlatform();
                    ControllerProcess controller = ControllerProcess.start(home, platform.config(listed, listed), folder);
                    FixedRateClient through = new FixedRateClient(platform.clientPort(), true);
                    FixedRateClient direct = new FixedRateClient(platform.serverPort(), true)) {
                // A client's connection without any established call is closed after 2 s.
                sendRequests(through, direct, rate, WARM_UP);
                Thread.sleep((listed > MANY_SERVERS ? SETTLING_TIME_FOR_MANY_SERVERS : SETTLING_TIME).toMillis());
                sendRequests(through, direct, rate, WARM_UP);
                for (int repetition = 1; repetition <= repetitions; repetition++) {
                    Thread.sleep(LAST_ANSWERS_TIME.toMillis());
                    measureOnce(controller, through, direct, rate, listed, repetition);
                }
            } finally {
                Folders.delete(folder);
            }
        }
    }

    private void measureOnce(ControllerProcess controller, FixedRateClient through, FixedRateClient direct, int rate,
            int listed,
            int repetition) throws IOException, InterruptedException {
        through.takeLatencies();
        direct.takeLatencies();
        long answered = through.answered();
        ProcessorTime cpu = controller.processorTime();
        long start = System.nanoTime();
        sendRequests(through, direct, rate, MEASUREMENT_TIME);
        double seconds = (System.nanoTime() - start) / NANOS_IN_SECOND;
        double cpuMillis = controller.processorTime().millisSince(cpu);
        Thread.sleep(LAST_ANSWERS_TIME.toMillis());
        Histogram added = through.takeLatencies();
        Histogram base = direct.takeLatencies();
        double answeredPerSecond = (through.answered() - answered) / seconds;
        recorder.record("cpu-ms-per-second-at-" + rate, listed, repetition, cpuMillis / seconds);
        recorder.record("answered-per-second-at-" + rate, listed, repetition, answeredPerSecond);
        if (answeredPerSecond < MIN_ANSWERED_SHARE * rate) {
            System.out.println(rate + " calls per second are not sustained with " + listed + " listed servers");
            return;
        }
        quantile("p50", 50, added, base, rate, listed, repetition);
        quantile("p99", 99, added, base, rate, listed, repetition);
        quantile("p99.9", 99.9, added, base, rate, listed, repetition);
    }

    private void quantile(String name, double percentile, Histogram through, Histogram direct, int rate, int listed,
            int repetition) {
        recorder.record("added-latency-" + name + "-us-at-" + rate, listed, repetition,
                through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile));
        recorder.record("direct-latency-" + name + "-us-at-" + rate, listed, repetition,
                direct.getValueAtPercentile(percentile));
    }

    private void sendRequests(FixedRateClient through, FixedRateClient direct, int rate, Duration length)
            throws IOException {
        FixedRate.run(2.0 * rate, length, scheduledNanos -> {
            long call = ++calls;
            (call % 2 == 0 ? through : direct).request(call, (int) (call / 2 % REQUESTED_SERVERS), scheduledNanos);
        });
    }
}
