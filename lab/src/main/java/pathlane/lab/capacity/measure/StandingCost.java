package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.lab.Folders;

/** What standing calls and callers' connections cost the built program: memory, and processor time of an idle second. */
final class StandingCost {

    private static final int[] STANDING = {0, 1_000, 3_000, 10_000, 20_000};
    private static final int[] CONNECTIONS = {1, 100, 300, 1_000, 3_000};
    private static final int SERVERS = 3;
    private static final int RATE = 3_000;
    private static final int CONNECT_RATE = 1_000;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration SETTLED = Duration.ofMillis(1000);
    private static final Duration WINDOW = Duration.ofMillis(2500);
    private static final Duration MOST = Duration.ofSeconds(30);

    private final Path home;
    private final Recorder recorder;
    private final int repetitions;
    private long calls;

    StandingCost(Path home, Recorder recorder, int repetitions) {
        this.home = home;
        this.recorder = recorder;
        this.repetitions = repetitions;
    }

    /** Standing calls of one connection, more and more on the same process. */
    void byStandingCalls() throws IOException, InterruptedException {
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            Path folder = Files.createTempDirectory("pathlane-capacity");
            try (StandInPlatform platform = new StandInPlatform();
                    ControllerProcess controller = ControllerProcess.start(home, platform.config(SERVERS, SERVERS), folder)) {
                Thread.sleep(SETTLED.toMillis());
                measure(controller, "by-standing-calls", 0, repetition);
                try (PacedCaller caller = new PacedCaller(platform.callerPort(), false)) {
                    for (int size : STANDING) {
                        if (size > 0) {
                            stand(caller, size);
                            measure(controller, "by-standing-calls", size, repetition);
                        }
                    }
                }
            } finally {
                Folders.delete(folder);
            }
        }
    }

    /** Connections of callers with one standing call each. */
    void byConnections() throws IOException, InterruptedException {
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            Path folder = Files.createTempDirectory("pathlane-capacity");
            List<PacedCaller> callers = new ArrayList<>();
            try (StandInPlatform platform = new StandInPlatform();
                    ControllerProcess controller = ControllerProcess.start(home, platform.config(SERVERS, SERVERS), folder)) {
                for (int size : CONNECTIONS) {
                    Pace.run(CONNECT_RATE, Duration.ofMillis((size - callers.size()) * 1000L / CONNECT_RATE), meant -> {
                        PacedCaller caller = new PacedCaller(platform.callerPort(), false);
                        callers.add(caller);
                        caller.ask(++calls, (int) (calls % SERVERS), meant);
                    });
                    Thread.sleep(SETTLED.toMillis());
                    measure(controller, "by-caller-connections", callers.size(), repetition);
                }
            } finally {
                for (PacedCaller caller : callers) {
                    caller.close();
                }
                Folders.delete(folder);
            }
        }
    }

    /** Asks until so many stand; a call that is refused is asked for under another id. */
    private void stand(PacedCaller caller, int size) throws IOException, InterruptedException {
        long until = System.nanoTime() + MOST.toNanos();
        while (caller.answered() < size) {
            long missing = size - caller.answered() - caller.open();
            if (missing > 0) {
                Pace.run(RATE, Duration.ofNanos(missing * 1_000_000_000L / RATE), meant ->
                        caller.ask(++calls, (int) (calls % SERVERS), meant));
            }
            Thread.sleep(STEP.toMillis());
            if (System.nanoTime() > until) {
                throw new IllegalStateException("only " + caller.answered() + " of " + size + " calls stand, "
                        + caller.refused() + " were refused");
            }
        }
    }

    private void measure(ControllerProcess controller, String against, int size, int repetition) throws InterruptedException {
        ProcessorTime before = controller.processorTime();
        Thread.sleep(WINDOW.toMillis());
        recorder.record("idle-cpu-ms-per-second-" + against, size, repetition,
                controller.processorTime().millisSince(before) * 1e3 / WINDOW.toMillis());
        recorder.record("memory-" + against + "-resident-bytes", size, repetition, controller.residentBytes());
        recorder.record("memory-" + against + "-heap-bytes", size, repetition, controller.liveHeapBytes());
    }
}
