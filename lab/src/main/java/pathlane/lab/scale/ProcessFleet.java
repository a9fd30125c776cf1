package pathlane.lab.scale;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The processes of a run beside its own: relays, hollow processes, single ones, and an empty one to compare with. */
final class ProcessFleet implements AutoCloseable {

    private static final Duration POLL = Duration.ofMillis(100);
    /** The compiler's first tier, as the program runs on. */
    private static final String FIRST_TIER = "-XX:TieredStopAtLevel=1";
    /** Memory that is free after a collection goes back to the system, so that what is resident is what is needed. */
    private static final List<String> SHRINKING_HEAP = List.of("-XX:MinHeapFreeRatio=5", "-XX:MaxHeapFreeRatio=15",
            "-XX:MaxNewSize=24m");
    private static final String SMALL_FIRST_HEAP = "-Xms16m";
    private static final Path RELAY_JAR = Path.of("relay", "target", "pathlane-relay.jar");
    private static final int COLLECTING_AT_ONCE = 4;
    private static final int SINGLE_HEAP_MEGABYTES = 64;

    private final ScalePlan plan;
    private final Path planFile;
    private final Path home;
    private final RunFolder folder;
    private final Deadline deadline;
    private final Map<String, ChildProcess> relays = new LinkedHashMap<>();
    private final List<ChildProcess> hollow = new ArrayList<>();
    private final List<ChildProcess> single = new ArrayList<>();
    private ChildProcess empty;

    /** {@code home} is where the project was built. */
    ProcessFleet(ScalePlan plan, Path planFile, Path home, RunFolder folder, Deadline deadline) {
        this.plan = plan;
        this.planFile = planFile;
        this.home = home;
        this.folder = folder;
        this.deadline = deadline;
    }

    /** Starts all relays, and then all processes with controllers; returns when these can be commanded. */
    void start(Topology topology) {
        Stream.concat(topology.regionRelays().stream(), topology.zoneRelays().stream())
                .forEach(relay -> relays.put(relay.name(), relay(relay, topology)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));   // relays would outlive a run that is killed
        relays.values().forEach(ChildProcess::start);
        int singles = plan.processes().single();
        int shared = plan.fleet().controllers() - singles;
        int first = 0;
        for (int count : shares(shared, plan.processes().hollow())) {
            hollow.add(holder("hollow-" + hollow.size(), first, count, plan.processes().hollowHeapMegabytes()));
            first += count;
        }
        for (int number = 0; number < singles; number++) {
            single.add(holder("single-" + number, shared + number, 1, SINGLE_HEAP_MEGABYTES));
        }
        empty = holder("empty", 0, 0, plan.processes().hollowHeapMegabytes());
        all().forEach(ChildProcess::start);
        all().forEach(ChildProcess::awaitReady);
    }

    /** The real program of a relay, from its jar. */
    private ChildProcess relay(Topology.Publisher relay, Topology topology) {
        Path file = folder.folder().resolve(relay.name() + ".toml");
        RelayFile.write(file, topology, relay, plan.relays(), folder.keysFile());
        return child(relay.name(), List.of(SMALL_FIRST_HEAP, "-Xmx" + plan.relays().heapMegabytes() + "m",
                "-XX:+UseSerialGC", "-jar", home.resolve(RELAY_JAR).toString(), file.toString()));
    }

    /** Each second process holds twice as many, so that a line through them tells a controller's cost from a process's. */
    private static int[] shares(int controllers, int processes) {
        int weights = processes + processes / 2;
        int[] shares = new int[processes];
        int weightsSoFar = 0;
        int given = 0;
        for (int process = 0; process < processes; process++) {
            weightsSoFar += 1 + process % 2;
            shares[process] = (int) ((long) controllers * weightsSoFar / weights) - given;
            given += shares[process];
        }
        return shares;
    }

    private ChildProcess holder(String name, int first, int count, int heapMegabytes) {
        List<String> command = new ArrayList<>(SHRINKING_HEAP);
        command.addAll(List.of(SMALL_FIRST_HEAP, "-Xmx" + heapMegabytes + "m", "-XX:+UseSerialGC", FIRST_TIER, "-cp",
                System.getProperty("java.class.path"), HollowProcess.class.getName(), planFile.toString(),
                folder.folder().toString(), Integer.toString(first), Integer.toString(count)));
        return child(name, command);
    }

    private ChildProcess child(String name, List<String> javaArguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaArguments);
        return new ChildProcess(name, command, folder.logFile(name));
    }

    /** The processes that hold several controllers. */
    List<ChildProcess> hollow() {
        return hollow;
    }

    /** The processes that hold one controller. */
    List<ChildProcess> single() {
        return single;
    }

    /** The process that holds none. */
    ChildProcess empty() {
        return empty;
    }

    Map<String, ChildProcess> relays() {
        return relays;
    }

    private List<ChildProcess> all() {
        return Stream.of(hollow, single, List.of(empty)).flatMap(List::stream).toList();
    }

    private List<ChildProcess> holders() {
        return Stream.of(hollow, single).flatMap(List::stream).toList();
    }

    /** Sends a command to all processes that hold controllers, and the empty one; returns when all have carried it out. */
    void command(ControlMessage.Command command) {
        all().forEach(process -> process.send(command));
        all().forEach(process -> process.await(ControlMessage.Done.class));
    }

    /** Frees memory in a few processes at a time: publishers give up a controller that is silent for some seconds. */
    void collectGarbage() {
        List<ChildProcess> all = all();
        for (int from = 0; from < all.size(); from += COLLECTING_AT_ONCE) {
            ask(all.subList(from, Math.min(all.size(), from + COLLECTING_AT_ONCE)), new ControlMessage.CollectGarbage(),
                    ControlMessage.Done.class);
        }
    }

    /** Asks processes at once, and has their answers in their order. */
    static <A extends ControlMessage.Answer> List<A> ask(List<ChildProcess> processes, ControlMessage.Command question,
                                                         Class<A> answer) {
        processes.forEach(process -> process.send(question));
        return processes.stream().map(process -> process.await(answer)).toList();
    }

    /** Asks all processes that hold controllers. */
    <A extends ControlMessage.Answer> List<A> ask(ControlMessage.Command question, Class<A> answer) {
        return ask(holders(), question, answer);
    }

    /** Waits until each controller is connected and has everything up to this revision in force. */
    void awaitInForce(long revision) throws InterruptedException {
        while (true) {
            List<ControlMessage.Status> statuses = ask(new ControlMessage.GetStatus(), ControlMessage.Status.class);
            if (statuses.stream().allMatch(status -> status.connected() == status.controllers()
                    && status.lowestInForce() >= revision)) {
                return;
            }
            deadline.check(() -> "not all controllers have revision " + revision + " in force: " + statuses);
            Thread.sleep(POLL.toMillis());
        }
    }

    /** Waits until controllers have connected so many times since the day began, and each is connected. */
    void awaitConnections(long connections) throws InterruptedException {
        while (true) {
            List<ControlMessage.Status> statuses = ask(new ControlMessage.GetStatus(), ControlMessage.Status.class);
            if (statuses.stream().allMatch(status -> status.connected() == status.controllers())
                    && statuses.stream().mapToLong(ControlMessage.Status::connections).sum() >= connections) {
                return;
            }
            deadline.check(() -> "not all controllers have connected again: " + statuses);
            Thread.sleep(POLL.toMillis());
        }
    }

    @Override
    public void close() {
        Stream.concat(relays.values().stream(), empty == null ? Stream.empty() : all().stream())
                .forEach(ChildProcess::close);
    }
}
