package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import pathlane.lab.Folders;

/**
 * The latency that the built program adds to a call. Two callers ask at the same rate in the same run, one at the controller
 * and one, half a step later, at the stand-in server itself; what is added is the difference of the two distributions'
 * quantiles. All listed servers have a connection, and all calls ask for one of the first three, so that the list alone
 * grows.
 */
final class AddedLatency {

    static final int[] RATES = {400, 2_400};

    private static final int[] LISTED = {3, 30, 300, 1_000, 3_000};
    private static final int ASKED_FOR = 3;
    private static final Duration SETTLED = Duration.ofMillis(1000);
    private static final Duration SETTLED_MANY = Duration.ofMillis(4500);
    private static final int MANY = 300;
    private static final Duration WARM_UP = Duration.ofMillis(1000);
    private static final Duration MEASURED = Duration.ofSeconds(4);
    private static final Duration LAST_ANSWERS = Duration.ofMillis(300);
    /** A rate of which less is answered has no latency: what waits only grows. */
    private static final double CARRIED = 0.99;
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

    /** One rate, at all sizes. */
    void measure(int rate) throws IOException, InterruptedException {
        for (int listed : LISTED) {
            Path folder = Files.createTempDirectory("pathlane-capacity");
            try (StandInPlatform platform = new StandInPlatform();
                    ControllerProcess controller = ControllerProcess.start(home, platform.config(listed, listed), folder);
                    PacedCaller through = new PacedCaller(platform.callerPort(), true);
                    PacedCaller direct = new PacedCaller(platform.serverPort(), true)) {
                // A caller's connection on which no call ever stood is closed after 2 s.
                play(through, direct, rate, WARM_UP);
                Thread.sleep((listed > MANY ? SETTLED_MANY : SETTLED).toMillis());
                play(through, direct, rate, WARM_UP);
                for (int repetition = 1; repetition <= repetitions; repetition++) {
                    Thread.sleep(LAST_ANSWERS.toMillis());
                    window(controller, through, direct, rate, listed, repetition);
                }
            } finally {
                Folders.delete(folder);
            }
        }
    }

    private void window(ControllerProcess controller, PacedCaller through, PacedCaller direct, int rate, int listed,
            int repetition) throws IOException, InterruptedException {
        through.takeLatencies();
        direct.takeLatencies();
        long answered = through.answered();
        ProcessorTime cpu = controller.processorTime();
        long begun = System.nanoTime();
        play(through, direct, rate, MEASURED);
        double seconds = (System.nanoTime() - begun) / NANOS_IN_SECOND;
        double cpuMillis = controller.processorTime().millisSince(cpu);
        Thread.sleep(LAST_ANSWERS.toMillis());
        Histogram added = through.takeLatencies();
        Histogram base = direct.takeLatencies();
        double carried = (through.answered() - answered) / seconds;
        recorder.record("cpu-ms-per-second-at-" + rate, listed, repetition, cpuMillis / seconds);
        recorder.record("answered-per-second-at-" + rate, listed, repetition, carried);
        if (carried < CARRIED * rate) {
            System.out.println(rate + " calls a second are not carried with " + listed + " listed servers");
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

    private void play(PacedCaller through, PacedCaller direct, int rate, Duration length) throws IOException {
        Pace.run(2.0 * rate, length, meant -> {
            long call = ++calls;
            (call % 2 == 0 ? through : direct).ask(call, (int) (call / 2 % ASKED_FOR), meant);
        });
    }
}
