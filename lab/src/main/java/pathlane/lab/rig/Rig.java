package pathlane.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import pathlane.group.LeaseTerms;
import pathlane.lab.ControllerConfig;
import pathlane.lab.EventBus;
import pathlane.lab.EventRecorder.EventKind;
import pathlane.lab.Faults;
import pathlane.lab.History;
import pathlane.lab.SimulatedClient;
import pathlane.lab.SimulatedServer;
import pathlane.transport.Protocol;

/**
 * Test bed with a group of real processes on loopback: call controllers n1, n2, ... and voters v1, v2, ..., each a process
 * of a built jar, with simulated session servers s1, s2, ..., event bus and clients, and a {@link Relay} on every link and
 * direction. It ends every process that it starts, by its process id. Used from one thread.
 */
public final class Rig implements AutoCloseable {

    /**
     * The parties and timings of a test bed.
     *
     * @param voters number of voters of the lease registry; with none there is no group
     * @param replicas number of other controllers that hold a replica of each record
     * @param answerDelay time from an attempt at a server to its answer
     * @param adoptionRate max calls per second that a successor adopts
     * @param orphanDelay how long an orphaned attempt is left alone; in full seconds
     */
    public record Shape(int controllers, int servers, int voters, int replicas, LeaseTerms lease, Duration answerDelay,
            int adoptionRate,
            Duration orphanDelay) {}

    private static final long TIMEOUT_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int GREETING_HEADER_BYTES = 4 + 4;
    private static final int GONE_STATE = 2;
    private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(100);
    private static final List<String> JVM_OPTIONS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx192m",
                    "-Xss512k", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true",
                    "-Dpathlane.log=" + System.getProperty("pathlane.log", "INFO"));

    private final Shape shape;
    private final Path folder;
    private final RigLoop loop = new RigLoop();
    private final History history = new History(System::nanoTime);
    private final Faults faults = new Faults();
    private final Relay relay = new Relay(loop, faults);
    private final Map<String, RigProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final EventBus bus;
    private final Map<String, Integer> busPorts = new LinkedHashMap<>();
    private final Map<String, List<Integer>> serverPorts = new LinkedHashMap<>();
    private final SimulatedClient clients;
    /** Listening ports that serve a single link, by {@code from>to}. */
    private final Map<String, RigLoop.Listener> links = new LinkedHashMap<>();

    /**
     * Writes the processes' files without starting them.
     *
     * @param projectRoot root of the built project, which contains {@code daemon/target/pathlane.jar} and the voter's jar
     * @param folder empty folder for files, logs and the voters' stores
     */
    public Rig(Shape shape, Path projectRoot, Path folder, long seed) throws IOException, InterruptedException {
        this.shape = shape;
        this.folder = folder;
        this.bus = new EventBus(loop, (controller, place) -> serverPorts.get(controller).get(place));
        this.clients =
                new SimulatedClient("callers", (seed & 0xffff) << 24 | 0x1000, (name, protocol) -> relay.connect("callers",
                        protocol, name, new InetSocketAddress("127.0.0.1", clientPorts.get(name))), history);
        Files.writeString(folder.resolve("group.keys"), "k1 " + "5a".repeat(32) + "\n");
        for (int i = 1; i <= shape.servers; i++) {
            String name = "s" + i;
            servers.put(name, loop.call(() -> new SimulatedServer(name, loop, shape.answerDelay, Duration.ZERO, history)));
        }
        addVoters(projectRoot);
        addControllers(projectRoot, seed);
    }

    private List<String> names(String prefix, int count) {
        return IntStream.rangeClosed(1, count).mapToObj(i -> prefix + i).toList();
    }

    private String leaseSection() {
        return String.format(Locale.ROOT, "[lease]\nlength-ms = %d\ndrift = %s\nwrite-lag-ms = %d\n",
                shape.lease.length().toMillis(), shape.lease.drift(), shape.lease.writeLag().toMillis());
    }

    private void addVoters(Path projectRoot) throws IOException, InterruptedException {
        List<String> names = names("v", shape.voters);
        Map<String, Integer> portsByVoter = new LinkedHashMap<>();
        Map<String, Integer> memberPorts = new LinkedHashMap<>();
        for (String name : names) {
            portsByVoter.put(name, Ports.findFree());
            memberPorts.put(name, Ports.findFree());
        }
        for (String name : names) {
            List<String> voterList = new ArrayList<>();
            for (String other : names) {
                int port = other.equals(name) ? portsByVoter.get(name) : link(name, other, portsByVoter.get(other));
                voterList.add("\"" + other + "=" + LOOPBACK + port + "\"");
            }
            Path file = folder.resolve(name + ".toml");
            Files.writeString(file,
                    "name = \"" + name + "\"\nmembers = \"" + LOOPBACK + memberPorts.get(name) + "\"\nvoters = "
                            + voterList + "\nkeys = \"group.keys\"\nstore = \"" + name + ".store\"\n" + leaseSection());
            addProcess(name, projectRoot.resolve("voter/target/pathlane-voter.jar"), List.of(file.toString()), Map.of());
        }
        voterPorts = memberPorts;
    }

    private Map<String, Integer> voterPorts = Map.of();

    private void listen(String from, String to, int port, Supplier<Protocol> protocols) throws InterruptedException {
        links.put(from + ">" + to, loop.listen(port, protocols));
    }

    /** Opens a port through which one process reaches another. */
    private int link(String from, String to, int port) throws InterruptedException {
        int linkPort = Ports.findFree();
        listen(from, to, linkPort, () -> relay.forward(from, to, new InetSocketAddress("127.0.0.1", port)));
        return linkPort;
    }

    private void addControllers(Path projectRoot, long seed) throws IOException, InterruptedException {
        for (String name : names("n", shape.controllers)) {
            int clientPort = Ports.findFree();
            int memberPort = Ports.findFree();
            int relayPort = Ports.findFree();
            clientPorts.put(name, clientPort);
            // All members use the one address from the lease registry: they identify themselves in their first bytes.
            loop.listen(relayPort,
                    () -> relay.forward(Rig::memberName, name, new InetSocketAddress("127.0.0.1", memberPort)));
            List<Integer> toServers = new ArrayList<>();
            for (Map.Entry<String, SimulatedServer> server : servers.entrySet()) {
                int port = Ports.findFree();
                toServers.add(port);
                listen(name, server.getKey(), port, () -> server.getValue().isUp()
                        ? relay.forwardTo(name, server.getKey(), server.getValue().accept(name)) : null);
            }
            serverPorts.put(name, toServers);
            int busPort = Ports.findFree();
            busPorts.put(name, busPort);
            listen(name, "bus", busPort, () -> relay.forwardTo(name, "bus", bus.accept(name)));
            Path config = folder.resolve(name + ".json");
            Files.writeString(config, ControllerConfig.text(name, clientPort, shape.servers, toServers::get, busPort,
                    shape.controllers, seed * shape.controllers + clientPort));
            List<String> voters = new ArrayList<>();
            for (Map.Entry<String, Integer> voter : voterPorts.entrySet()) {
                voters.add("\"" + LOOPBACK + link(name, voter.getKey(), voter.getValue()) + "\"");
            }
            Path group = folder.resolve(name + ".toml");
            Files.writeString(group, "listen = \"" + LOOPBACK + memberPort + "\"\naddress = \"" + LOOPBACK + relayPort
                    + "\"\nvoters = " + voters + "\nkeys = \"group.keys\"\ncopies = " + shape.replicas + "\n"
                    + leaseSection()
                    + "[takeover]\npace = " + shape.adoptionRate + "\norphans-s = " + shape.orphanDelay.toSeconds() + "\n");
            addProcess(name, projectRoot.resolve("daemon/target/pathlane.jar"), shape.voters == 0 ? List.of("serve")
                    : List.of("serve", "--group", group.toString()), Map.of("RELAY_CONFIG", config.toString()));
        }
    }

    /** The name at the start of a member's connection, once it has been received completely. */
    private static Optional<String> memberName(byte[] first) {
        if (first.length <= GREETING_HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer read = ByteBuffer.wrap(first).position(GREETING_HEADER_BYTES);
        int keyLength = read.get() & 0xff;
        if (read.remaining() <= keyLength) {
            return Optional.empty();
        }
        read.position(read.position() + keyLength);
        int nameLength = read.get() & 0xff;
        return read.remaining() < nameLength ? Optional.empty()
                : Optional.of(new String(first, read.position(), nameLength, StandardCharsets.UTF_8));
    }

    /** The command that starts a JVM with the program's options, without the program itself. */
    public static List<String> programCommand() {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_OPTIONS);
        return command;
    }

    private void addProcess(String name, Path jar, List<String> arguments, Map<String, String> environment) {
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException(jar + " is missing: build the project first (mvn -q -DskipTests package)");
        }
        List<String> command = programCommand();
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        processes.put(name, new RigProcess(name, command, environment, folder.resolve(name + ".log"), history));
    }

    /** Starts all processes, connects the clients, and waits until the group has formed. */
    public void start() throws InterruptedException {
        for (RigProcess process : processes.values()) {
            process.start();
        }
        for (String name : processNames("n")) {
            awaitLog(name, "serves on", 0);
        }
        onLoop(this::keepConnected);
        for (String name : shape.voters == 0 ? List.<String>of() : processNames("n")) {
            awaitLog(name, "lease_valid=true replicated=true members=" + shape.controllers, 0);
        }
    }

    /** Reopens closed client connections: controllers close idle ones, and notify of ends on any open one. */
    private void keepConnected() {
        for (String name : processNames("n")) {
            if (processes.get(name).isUp()) {
                clients.connect(name);
            }
        }
        loop.after(RECONNECT_INTERVAL, this::keepConnected);
    }

    /** Waits for a log line of a process that contains this text, from an index of the history on. */
    void awaitLog(String name, String text, int from) throws InterruptedException {
        history.await("'" + text + "' in the log of " + name, from, 1, TIMEOUT_MILLIS,
                event -> event.kind() == EventKind.LOGGED && event.party().equals(name) && event.text().contains(text));
    }

    // ---- used by scenarios and measurements

    /** The history of events. */
    public History history() {
        return history;
    }

    /** The longest stall of the test bed's event loop, which is the max error of recorded times. */
    public Duration maxStall() throws InterruptedException {
        return loop.call(loop::maxStall);
    }

    RigProcess process(String name) {
        RigProcess process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException(
                    "'" + name + "' is not a known process; known processes: " + processes.keySet());
        }
        return process;
    }

    /** The names of all processes that begin with this prefix. */
    List<String> processNames(String prefix) {
        return processes.keySet().stream().filter(name -> name.startsWith(prefix)).collect(Collectors.toList());
    }

    Map<String, SimulatedServer> servers() {
        return servers;
    }

    /** Runs a task on the event loop, which owns all simulated parties and faults. */
    void onLoop(Runnable task) throws InterruptedException {
        loop.run(task);
    }

    <T> T callOnLoop(java.util.concurrent.Callable<T> task) throws InterruptedException {
        return loop.call(task);
    }

    SimulatedClient clients() {
        return clients;
    }

    Faults faults() {
        return faults;
    }

    /** Blocks one direction of a link; new connections on it time out. Called on the event loop. */
    void block(String from, String to) {
        faults.block(from, to);
        Optional.ofNullable(links.get(from + ">" + to)).ifPresent(RigLoop.Listener::stopAccepting);
        Optional.ofNullable(links.get(to + ">" + from)).ifPresent(RigLoop.Listener::stopAccepting);
    }

    /** Unblocks both directions of a link. Called on the event loop. */
    void restore(String one, String other) {
        faults.restore(one, other);
        faults.restore(other, one);
        Optional.ofNullable(links.get(one + ">" + other)).ifPresent(RigLoop.Listener::resumeAccepting);
        Optional.ofNullable(links.get(other + ">" + one)).ifPresent(RigLoop.Listener::resumeAccepting);
    }

    /** Clears all faults. Called on the event loop. */
    void restoreAll() {
        faults.restoreAll();
        links.values().forEach(RigLoop.Listener::resumeAccepting);
    }

    /** Crashes a server and publishes that it is gone. Called on the event loop. */
    void serverGone(String server) {
        servers.get(server).crash();
        int index = List.copyOf(servers.keySet()).indexOf(server);
        bus.publish(index + 1, index, GONE_STATE, 0);
    }

    /** Kills every started process and stops the event loop. */
    @Override
    public void close() throws InterruptedException {
        for (RigProcess process : processes.values()) {
            if (process.isUp()) {
                process.kill();
            }
        }
        loop.close();
    }
}
