package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import pathlane.lab.Folders;

/**
 * What the built program costs as a process that serves nobody: at its start, by listed servers, by connections to servers,
 * and by the rate of events on the bus.
 */
final class ProcessCost {

    private static final int FEW = 3;
    private static final int[] LISTED = {3, 300, 3_000, 9_000, 26_000};
    private static final int[] CONNECTED = {3, 30, 300, 1_000, 3_000};
    private static final int[] EVENTS_PER_SECOND = {0, 10, 100, 1_000};
    private static final int[] LISTED_UNDER_EVENTS = {3, 300, 1_000, 3_000};
    private static final int LISTED_USUAL = 300;
    private static final int EVENTS_USUAL = 100;
    /** A start visits each listed server within 4 s. */
    private static final Duration SETTLED = Duration.ofSeconds(5);
    private static final Duration WARM = Duration.ofMillis(1000);
    /** Until the code that takes an event is compiled. */
    private static final Duration COMPILING = Duration.ofSeconds(2);
    private static final int COMPILING_EVENTS = 500;
    /** Whole seconds: servers report once a second, all at the same time. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    private final Path home;
    private final Recorder recorder;
    private final int repetitions;

    ProcessCost(Path home, Recorder recorder, int repetitions) {
        this.home = home;
        this.recorder = recorder;
        this.repetitions = repetitions;
    }

    /** Something that is measured on a controller that serves. */
    private interface Measure {
        void on(ControllerProcess controller, StandInPlatform platform) throws InterruptedException;
    }

    private void with(int listed, int reachable, Measure measure) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-capacity");
        try (StandInPlatform platform = new StandInPlatform();
                ControllerProcess controller = ControllerProcess.start(home, platform.config(listed, reachable), folder)) {
            measure.on(controller, platform);
        } finally {
            Folders.delete(folder);
        }
    }

    /** Processor time and memory of a start, by listed servers; a size that does not come to serve is said and left out. */
    void start() throws IOException, InterruptedException {
        for (int listed : LISTED) {
            for (int repetition = 1; repetition <= repetitions; repetition++) {
                int at = repetition;
                try {
                    with(listed, 0, (controller, platform) -> {
                        recorder.record("start-cpu-ms", listed, at, controller.processorTime().millis());
                        Thread.sleep(WARM.toMillis());
                        recorder.record("start-memory-resident-bytes", listed, at, controller.residentBytes());
                        recorder.record("start-memory-heap-bytes", listed, at, controller.liveHeapBytes());
                    });
                } catch (IllegalStateException e) {
                    System.out.println("start with " + listed + " listed servers: " + e.getMessage());
                }
            }
        }
    }

    /** An idle second by listed servers that cannot be reached, so that nothing but the list differs. */
    void idleByListed() throws IOException, InterruptedException {
        for (int listed : LISTED) {
            try {
                with(listed, 0, (controller, platform) -> {
                    Thread.sleep(SETTLED.toMillis());
                    for (int repetition = 1; repetition <= repetitions; repetition++) {
                        ProcessorTime before = controller.processorTime();
                        Thread.sleep(WINDOW.toMillis());
                        recorder.record("idle-cpu-ms-per-second-by-listed", listed, repetition,
                                perSecond(controller.processorTime().millisSince(before)));
                    }
                });
            } catch (IllegalStateException e) {
                System.out.println("idle with " + listed + " listed servers: " + e.getMessage());
            }
        }
    }

    /** An idle second by connections to servers that report their capacity each second. */
    void idleByConnections() throws IOException, InterruptedException {
        for (int connected : CONNECTED) {
            with(connected, connected, (controller, platform) -> {
                Thread.sleep(SETTLED.toMillis());
                long open = platform.toldByServers().open();
                if (open < connected) {
                    System.out.println(open + " of " + connected + " listed servers are connected");
                }
                for (int repetition = 1; repetition <= repetitions; repetition++) {
                    ProcessorTime cpu = controller.processorTime();
                    long bytes = platform.toldByServers().bytes();
                    long messages = platform.toldByServers().messages();
                    Thread.sleep(WINDOW.toMillis());
                    recorder.record("idle-cpu-ms-per-second-by-connections", open, repetition,
                            perSecond(controller.processorTime().millisSince(cpu)));
                    recorder.record("capacity-report-bytes-per-second-by-connections", open, repetition,
                            perSecond(platform.toldByServers().bytes() - bytes));
                    recorder.record("capacity-report-messages-per-second-by-connections", open, repetition,
                            perSecond(platform.toldByServers().messages() - messages));
                    recorder.record("memory-by-server-connections-heap-bytes", open, repetition, controller.liveHeapBytes());
                    recorder.record("memory-by-server-connections-resident-bytes", open, repetition,
                            controller.residentBytes());
                }
            });
        }
    }

    /** A second under events of the bus, by their rate and by listed servers. */
    void discovery() throws IOException, InterruptedException {
        for (int rate : EVENTS_PER_SECOND) {
            events(LISTED_USUAL, rate, "by-events", rate);
        }
        for (int listed : LISTED_UNDER_EVENTS) {
            events(listed, EVENTS_USUAL, "by-listed-at-100-events", listed);
        }
    }

    private void events(int listed, int rate, String against, int size) throws IOException, InterruptedException {
        with(listed, 0, (controller, platform) -> {
            if (listed > LISTED_USUAL) {
                Thread.sleep(SETTLED.toMillis());
            }
            platform.tellEvents(COMPILING_EVENTS, listed);
            Thread.sleep(COMPILING.toMillis());
            platform.tellEvents(rate, listed);
            Thread.sleep(WARM.toMillis());
            for (int repetition = 1; repetition <= repetitions; repetition++) {
                ProcessorTime cpu = controller.processorTime();
                long bytes = platform.toldByBus().bytes();
                long messages = platform.toldByBus().messages();
                Thread.sleep(WINDOW.toMillis());
                recorder.record("discovery-cpu-ms-per-second-" + against, size, repetition,
                        perSecond(controller.processorTime().millisSince(cpu)));
                recorder.record("discovery-bytes-per-second-" + against, size, repetition,
                        perSecond(platform.toldByBus().bytes() - bytes));
                recorder.record("discovery-messages-per-second-" + against, size, repetition,
                        perSecond(platform.toldByBus().messages() - messages));
            }
        });
    }

    private static double perSecond(double inWindow) {
        return inWindow * 1e3 / WINDOW.toMillis();
    }
}
