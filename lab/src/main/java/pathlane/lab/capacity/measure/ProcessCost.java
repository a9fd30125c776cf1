package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import pathlane.lab.Folders;

/**
 * Measures the cost of the built program as a process without clients: at its start, by listed servers, by connections to
 * servers, and by the rate of events on the bus.
 */
final class ProcessCost {

    private static final int FEW_SERVERS = 3;
    private static final int[] LISTED = {3, 300, 3_000, 9_000, 26_000};
    private static final int[] CONNECTED = {3, 30, 300, 1_000, 3_000};
    private static final int[] EVENTS_PER_SECOND = {0, 10, 100, 1_000};
    private static final int[] LISTED_UNDER_EVENTS = {3, 300, 1_000, 3_000};
    private static final int DEFAULT_LISTED = 300;
    private static final int DEFAULT_EVENTS_PER_SECOND = 100;
    /** After its start the controller connects to each listed server within 4 s. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(5);
    private static final Duration WARM_UP = Duration.ofMillis(1000);
    /** Time until the code that handles an event is compiled. */
    private static final Duration COMPILATION_TIME = Duration.ofSeconds(2);
    private static final int COMPILATION_EVENTS_PER_SECOND = 500;
    /** A multiple of one second, because servers report once a second, all at the same time. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    private final Path home;
    private final Recorder recorder;
    private final int repetitions;

    ProcessCost(Path home, Recorder recorder, int repetitions) {
        this.home = home;
        this.recorder = recorder;
        this.repetitions = repetitions;
    }

    /** A measurement of a running controller. */
    private interface Measure {
        void on(ControllerProcess controller, SimulatedPlatform platform) throws InterruptedException;
    }

    private void withController(int listed, int reachable, Measure measure) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-capacity");
        try (SimulatedPlatform platform = new SimulatedPlatform();
                ControllerProcess controller = ControllerProcess.start(home, platform.config(listed, reachable), folder)) {
            measure.on(controller, platform);
        } finally {
            Folders.delete(folder);
        }
    }

    /** Processor time and memory of a start, by listed servers; a size that fails to start is reported and skipped. */
    void start() throws IOException, InterruptedException {
        for (int listed : LISTED) {
            for (int repetition = 1; repetition <= repetitions; repetition++) {
                int currentRepetition = repetition;
                try {
                    withController(listed, 0, (controller, platform) -> {
                        recorder.record("start-cpu-ms", listed, currentRepetition, controller.processorTime().millis());
                        Thread.sleep(WARM_UP.toMillis());
                        recorder.record("start-memory-resident-bytes", listed, currentRepetition,
                                controller.residentBytes());
                        recorder.record("start-memory-heap-bytes", listed, currentRepetition, controller.liveHeapBytes());
                    });
                } catch (IllegalStateException e) {
                    System.out.println("start with " + listed + " listed servers: " + e.getMessage());
                }
            }
        }
    }

    /** An idle second by the number of listed servers, all unreachable, so that only the list differs. */
    void idleByListed() throws IOException, InterruptedException {
        for (int listed : LISTED) {
            try {
                withController(listed, 0, (controller, platform) -> {
                    Thread.sleep(SETTLING_TIME.toMillis());
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

    /** An idle second by the number of connections to servers that report their capacity each second. */
    void idleByConnections() throws IOException, InterruptedException {
        for (int connected : CONNECTED) {
            withController(connected, connected, (controller, platform) -> {
                Thread.sleep(SETTLING_TIME.toMillis());
                long open = platform.sentByServers().open();
                if (open < connected) {
                    System.out.println(open + " of " + connected + " listed servers are connected");
                }
                for (int repetition = 1; repetition <= repetitions; repetition++) {
                    ProcessorTime cpu = controller.processorTime();
                    long bytes = platform.sentByServers().bytes();
                    long messages = platform.sentByServers().messages();
                    Thread.sleep(WINDOW.toMillis());
                    recorder.record("idle-cpu-ms-per-second-by-connections", open, repetition,
                            perSecond(controller.processorTime().millisSince(cpu)));
                    recorder.record("capacity-report-bytes-per-second-by-connections", open, repetition,
                            perSecond(platform.sentByServers().bytes() - bytes));
                    recorder.record("capacity-report-messages-per-second-by-connections", open, repetition,
                            perSecond(platform.sentByServers().messages() - messages));
                    recorder.record("memory-by-server-connections-heap-bytes", open, repetition, controller.liveHeapBytes());
                    recorder.record("memory-by-server-connections-resident-bytes", open, repetition,
                            controller.residentBytes());
                }
            });
        }
    }

    /** A second with events of the bus, by their rate and by the number of listed servers. */
    void discovery() throws IOException, InterruptedException {
        for (int rate : EVENTS_PER_SECOND) {
            events(DEFAULT_LISTED, rate, "by-events", rate);
        }
        for (int listed : LISTED_UNDER_EVENTS) {
            events(listed, DEFAULT_EVENTS_PER_SECOND, "by-listed-at-100-events", listed);
        }
    }

    private void events(int listed, int rate, String against, int size) throws IOException, InterruptedException {
        withController(listed, 0, (controller, platform) -> {
            if (listed > DEFAULT_LISTED) {
                Thread.sleep(SETTLING_TIME.toMillis());
            }
            platform.sendEvents(COMPILATION_EVENTS_PER_SECOND, listed);
            Thread.sleep(COMPILATION_TIME.toMillis());
            platform.sendEvents(rate, listed);
            Thread.sleep(WARM_UP.toMillis());
            for (int repetition = 1; repetition <= repetitions; repetition++) {
                ProcessorTime cpu = controller.processorTime();
                long bytes = platform.sentByBus().bytes();
                long messages = platform.sentByBus().messages();
                Thread.sleep(WINDOW.toMillis());
                recorder.record("discovery-cpu-ms-per-second-" + against, size, repetition,
                        perSecond(controller.processorTime().millisSince(cpu)));
                recorder.record("discovery-bytes-per-second-" + against, size, repetition,
                        perSecond(platform.sentByBus().bytes() - bytes));
                recorder.record("discovery-messages-per-second-" + against, size, repetition,
                        perSecond(platform.sentByBus().messages() - messages));
            }
        });
    }

    private static double perSecond(double inWindow) {
        return inWindow * 1e3 / WINDOW.toMillis();
    }
}
