package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.lab.ControllerConfig;
import pathlane.lab.History;
import pathlane.lab.SimulatedClient;
import pathlane.lab.rig.Ports;
import pathlane.lab.rig.Rig;
import pathlane.lab.rig.RigLoop;

/**
 * A call controller of the real program, with its file of discovery. It watches a service from its first call on: a caller
 * asks once for a call of each, which fails, as no session server of the run can be reached.
 */
final class RealController {

    private static final String HOST = "127.0.0.1";
    private static final Path JAR = Path.of("daemon", "target", "pathlane.jar");
    private static final String CALL_CLASS = "status-check";
    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);

    private final String name;
    private final int port = Ports.findFree(HOST);
    private final List<String> services;
    private final ChildProcess process;

    /** A controller at this place of the fleet, that is not started yet; its files are written into the run's folder. */
    RealController(int number, FleetLayout layout, Topology topology, Path home, RunFolder folder) {
        this.name = "real-" + number;
        this.services = layout.watchedBy(number);
        Path configuration = folder.folder().resolve(name + ".json");
        Path discovery = folder.folder().resolve(name + ".toml");
        int zone = layout.zoneOf(number);
        try {
            Files.writeString(configuration, ControllerConfig.text(name, port, 0, any -> 0, 0, 1, number));
            Files.writeString(discovery, discoveryFile(Topology.zoneName(zone),
                    Topology.regionName(layout.regionOfZone(zone)), topology, folder.keysFile()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<String> command = new ArrayList<>(Rig.programCommand());
        command.addAll(
                List.of("-jar", ProcessFleet.built(home, JAR).toString(), "serve", "--discovery", discovery.toString()));
        this.process = new ChildProcess(name, command, folder.logFile(name)).with("RELAY_CONFIG", configuration.toString());
    }

    private String discoveryFile(String zone, String region, Topology topology, Path keys) {
        StringBuilder text = new StringBuilder(String.format("""
                name = "%s"
                zone = "%s"
                region = "%s"
                keys = "%s"
                """, name, zone, region, keys.getFileName()));
        topology.zoneRelays().forEach(relay -> text.append(RelayFile.publisher(relay.address())));
        text.append("\n[services]\n");
        for (int cell = 0; cell < services.size(); cell++) {
            text.append(String.format("%s = [%d]%n", services.get(cell), cell));
        }
        return text.toString();
    }

    ChildProcess process() {
        return process;
    }

    /** Starts it, and has it watch its services; returns once a call of each has come to its end. */
    void start(Deadline deadline) throws InterruptedException {
        process.start();
        try (RigLoop loop = new RigLoop()) {
            SimulatedClient caller = loop.call(() -> new SimulatedClient("caller", 1,
                    (controller, protocol) -> loop.connect(new InetSocketAddress(HOST, port), DIAL_TIMEOUT, protocol),
                    new History(System::nanoTime)));
            while (!loop.call(() -> caller.isConnected(name))) {
                deadline.check(() -> name + " does not serve");
                loop.run(() -> caller.connect(name));
                Thread.sleep(POLL.toMillis());
            }
            loop.run(() -> {
                for (int cell = 0; cell < services.size(); cell++) {
                    caller.requestCall(name, cell, CALL_CLASS, PATIENCE);
                }
            });
            while (loop.call(caller::pendingRequests) > 0) {
                deadline.check(() -> name + " does not answer its first calls");
                Thread.sleep(POLL.toMillis());
            }
        }
    }
}
