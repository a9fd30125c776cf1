package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.lab.Folders;

/** Measures memory and idle processor time of the built program by established calls and client connections. */
final class EstablishedCallCost {

    private static final int[] ESTABLISHED_CALLS = {1_000, 3_000, 10_000, 20_000};
    private static final int[] CONNECTIONS = {1, 100, 1_000, 3_000};
    private static final int SERVERS = 3;
    private static final int CALLS_PER_SECOND = 3_000;
    private static final int CONNECTIONS_PER_SECOND = 1_000;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final Duration SETTLING_TIME = Duration.ofMillis(1000);
    private static final Duration WINDOW = Duration.ofMillis(1500);
    private static final Duration ESTABLISH_TIMEOUT = Duration.ofSeconds(30);

    private final Path home;
    private final Recorder recorder;
    private final int repetitions;
    private long calls;

    EstablishedCallCost(Path home, Recorder recorder, int repetitions) {
        this.home = home;
        this.recorder = recorder;
        this.repetitions = repetitions;
    }

    /** Increases the load of the process to a size. */
    private interface Growth {
        void to(int size) throws IOException, InterruptedException;
    }

    /** Increasing numbers of established calls on one connection to the same process. */
    void byEstablishedCalls() throws IOException, InterruptedException {
        withController((platform, controller) -> {
            measure(controller, "by-standing-calls", 0);
            try (FixedRateClient client = new FixedRateClient(platform.clientPort(), false)) {
                grow(controller, "by-standing-calls", ESTABLISHED_CALLS, size -> establish(client, size));
            }
        });
    }

    /** Increasing numbers of client connections with one established call each to the same process. */
    void byConnections() throws IOException, InterruptedException {
        List<FixedRateClient> clients = new ArrayList<>();
        try {
            withController((platform, controller) -> grow(controller, "by-caller-connections", CONNECTIONS,
                    size -> connect(platform, clients, size)));
        } finally {
            for (FixedRateClient client : clients) {
                client.close();
            }
        }
    }

    private interface Measure {
        void on(SimulatedPlatform platform, ControllerProcess controller) throws IOException, InterruptedException;
    }

    private void withController(Measure measure) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-capacity");
        try (SimulatedPlatform platform = new SimulatedPlatform();
                ControllerProcess controller = ControllerProcess.start(home, platform.config(SERVERS, SERVERS), folder)) {
            Thread.sleep(SETTLING_TIME.toMillis());
            measure.on(platform, controller);
        } finally {
            Folders.delete(folder);
        }
    }

    private void grow(ControllerProcess controller, String against, int[] sizes, Growth growth)
            throws IOException, InterruptedException {
        for (int size : sizes) {
            growth.to(size);
            Thread.sleep(SETTLING_TIME.toMillis());
            measure(controller, against, size);
        }
    }

    private void connect(SimulatedPlatform platform, List<FixedRateClient> clients, int size) throws IOException {
        FixedRate.run(CONNECTIONS_PER_SECOND, Duration.ofMillis((size - clients.size()) * 1000L / CONNECTIONS_PER_SECOND),
                scheduledNanos -> {
                    FixedRateClient client = new FixedRateClient(platform.clientPort(), false);
                    clients.add(client);
                    client.request(++calls, (int) (calls % SERVERS), scheduledNanos);
                });
    }

    /** Requests calls until this many are established; a rejected call is requested again under another id. */
    private void establish(FixedRateClient client, int size) throws IOException, InterruptedException {
        long until = System.nanoTime() + ESTABLISH_TIMEOUT.toNanos();
        while (client.answered() < size) {
            long missing = size - client.answered() - client.pending();
            if (missing > 0) {
                FixedRate.run(CALLS_PER_SECOND, Duration.ofNanos(missing * 1_000_000_000L / CALLS_PER_SECOND),
                        scheduledNanos -> client.request(++calls, (int) (calls % SERVERS), scheduledNanos));
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
            if (System.nanoTime() > until) {
                throw new IllegalStateException("only " + client.answered() + " of " + size + " calls are established, "
                        + client.rejected() + " were rejected");
            }
        }
    }

    private void measure(ControllerProcess controller, String against, int size) throws InterruptedException {
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            ProcessorTime before = controller.processorTime();
            Thread.sleep(WINDOW.toMillis());
            recorder.record("idle-cpu-ms-per-second-" + against, size, repetition,
                    controller.processorTime().millisSince(before) * 1e3 / WINDOW.toMillis());
            recorder.record("memory-" + against + "-resident-bytes", size, repetition, controller.residentBytes());
            recorder.record("memory-" + against + "-heap-bytes", size, repetition, controller.liveHeapBytes());
        }
    }
}
