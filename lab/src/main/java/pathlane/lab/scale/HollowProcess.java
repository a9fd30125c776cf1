package pathlane.lab.scale;

import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;
import pathlane.discovery.WatchTerms;
import pathlane.lab.scale.ControlMessage.WatchFigures;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.transport.RateLimitedLog;

/**
 * A process that holds some controllers of the fleet, with numbers that follow each other. Commands come on its standard
 * input; its end ends the process.
 */
final class HollowProcess {

    /** Held here, since the JDK keeps a logger's level only as long as somebody refers to the logger. */
    private static final List<Logger> QUIET = List.of(Logger.getLogger("discovery"), Logger.getLogger("bus"));
    private static final int MOST_EXAMPLES = 5;
    /**
     * Controllers that have started and lack the first state of a service. Guards against a process with thousands of first
     * snapshots in its one loop: its relays would take its controllers for dead. A real controller is alone in its process.
     */
    private static final int MOST_STARTING = 50;
    private static final Duration LOOK_EVERY = Duration.ofMillis(10);
    /** Bytes that may wait to be written to a publisher: a resumed watch is a few names. */
    private static final long MOST_UNWRITTEN = 64 * 1024;
    private static final String SETTINGS = """
            {"balancers": 100, "tick-ms": 5,
             "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                       {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
             "ceilings": {"max-attempts": 6, "cancelling": true},
             "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
             "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}""";

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final InForceRecorder recorder;
    private final List<HollowController> controllers = new ArrayList<>();
    private final Settings settings = SettingsReader.read(JsonParser.parseString(SETTINGS).getAsJsonObject());
    private final BaselineControllers baseline = new BaselineControllers(loop, network, settings);
    private WatchFigures watchesBefore = WatchFigures.NONE;
    private long receivedBefore;
    private long writtenBefore;

    private HollowProcess(ScalePlan plan, RunFolder folder, int[] numbers) {
        FleetLayout layout = new FleetLayout(plan.fleet());
        recorder = new InForceRecorder(CommitLog.open(folder.commitLogFile()), plan.fleet().regions());
        Topology topology = Topology.read(folder.topologyFile());
        List<WatchTerms.PublisherAddress> relays = topology.zoneRelays().stream().map(Topology.Publisher::address).toList();
        HollowController.Environment environment = new HollowController.Environment(network.connector(MOST_UNWRITTEN), loop,
                folder.readKeys(), new RateLimitedLog("scale", loop), settings, recorder);
        for (int number : numbers) {
            int zone = layout.zoneOf(number);
            int region = layout.regionOfZone(zone);
            WatchTerms terms = ScaleTerms.watch("controller-" + number, Topology.zoneName(zone), Topology.regionName(region),
                    relays);
            controllers.add(new HollowController(terms, region, layout.watchedBy(number), plan.fleet().seed() + number,
                    environment));
        }
    }

    /**
     * Runs until its input ends.
     *
     * @param args the plan's file, the run's folder, the first controller's number, and how many
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        // Thousands of clients say what one operator would read of one.
        QUIET.forEach(logger -> logger.setLevel(Level.SEVERE));
        int first = Integer.parseInt(args[2]);
        int count = Integer.parseInt(args[3]);
        HollowProcess process = new HollowProcess(ScaleFile.read(Path.of(args[0])), new RunFolder(Path.of(args[1])),
                IntStream.range(first, first + count).toArray());
        process.serve();
        System.exit(0);
    }

    private void serve() throws IOException, InterruptedException {
        answer(new ControlMessage.Ready());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            ControlMessage.Command command = ControlMessage.command(line);
            if (command instanceof ControlMessage.End) {
                return;
            }
            answer(OnLoop.call(loop, () -> carryOut(command)));
        }
    }

    private static void answer(ControlMessage.Answer answer) {
        System.out.println(ControlMessage.line(answer));
        System.out.flush();
    }

    private ControlMessage.Answer carryOut(ControlMessage.Command command) throws IOException {
        if (command instanceof ControlMessage.GetStatus) {
            return status();
        } else if (command instanceof ControlMessage.GetFigures) {
            return figures();
        } else if (command instanceof ControlMessage.GetBaselineStatus) {
            return baseline.status();
        } else if (command instanceof ControlMessage.Verify verify) {
            return verify(Path.of(verify.digestFile()));
        } else if (command instanceof ControlMessage.StartControllers) {
            startControllers(0);
        } else if (command instanceof ControlMessage.BeginDay) {
            beginDay();
        } else if (command instanceof ControlMessage.BreakConnections) {
            controllers.forEach(HollowController::breakConnection);
        } else if (command instanceof ControlMessage.CollectGarbage) {
            System.gc();
        } else if (command instanceof ControlMessage.StartBaseline start) {
            controllers.forEach(HollowController::stop);
            controllers.clear();
            baseline.start(start);
        }
        return new ControlMessage.Done();
    }

    /** Starts all from this one on, as those before have their first state. */
    private void startControllers(int from) {
        long starting = controllers.subList(0, from).stream().filter(controller -> !controller.isListed()).count();
        int next = from;
        while (next < controllers.size() && starting < MOST_STARTING) {
            controllers.get(next).start();
            next++;
            starting++;
        }
        int started = next;
        if (started < controllers.size()) {
            loop.after(LOOK_EVERY, () -> startControllers(started));
        }
    }

    private ControlMessage.Status status() {
        int connected = (int) controllers.stream().filter(HollowController::isConnected).count();
        long connections = watches().minus(watchesBefore).connections();
        return controllers.stream().min(Comparator.comparingLong(HollowController::inForce))
                .map(last -> new ControlMessage.Status(controllers.size(), connected, connections, last.inForce(),
                        last.name()))
                .orElse(new ControlMessage.Status(0, 0, 0, Long.MAX_VALUE, ""));
    }

    private WatchFigures watches() {
        return controllers.stream().map(HollowController::watchFigures).reduce(WatchFigures.NONE, WatchFigures::plus);
    }

    private long received() {
        return controllers.stream().mapToLong(HollowController::bytesReceived).sum();
    }

    private long written() {
        return controllers.stream().mapToLong(HollowController::bytesWritten).sum();
    }

    private void beginDay() {
        recorder.reset();
        watchesBefore = watches();
        receivedBefore = received();
        writtenBefore = written();
    }

    private ControlMessage.Figures figures() {
        return new ControlMessage.Figures(controllers.size(),
                controllers.stream().mapToLong(HollowController::endpoints).sum(), recorder.figures(),
                received() - receivedBefore, written() - writtenBefore, watches().minus(watchesBefore));
    }

    private ControlMessage.Verdict verify(Path digestFile) throws IOException {
        Map<String, Long> digests = new HashMap<>();
        for (String line : Files.readAllLines(digestFile)) {
            String[] parts = line.split(" ");
            digests.put(parts[0], Long.parseUnsignedLong(parts[1], 16));
        }
        List<String> differences = new ArrayList<>();
        long equal = 0;
        for (HollowController controller : controllers) {
            equal += controller.verify(digests, differences);
        }
        return new ControlMessage.Verdict(equal, differences.size(),
                differences.subList(0, Math.min(MOST_EXAMPLES, differences.size())));
    }
}
