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
import pathlane.lab.EventBus;
import pathlane.lab.Faults;
import pathlane.lab.FleetConfig;
import pathlane.lab.History;
import pathlane.lab.ScriptedCaller;
import pathlane.lab.SessionServer;
import pathlane.lab.Witness.What;
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
     * @param copies number of other controllers that hold a replica of each record
     * @param work time from an attempt at a server to its answer
     * @param pace max calls per second that a successor adopts
     * @param orphans how long an orphaned attempt is left alone; in full seconds
     */
    public record Shape(int controllers, int servers, int voters, int copies, LeaseTerms lease, Duration work, int pace,
            Duration orphans) {}

    private static final long MOST_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int GREETING = 4 + 4;
    private static final int GONE = 2;
    private static final Duration REDIAL = Duration.ofMillis(100);
    private static final List<String> JVM =
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
    private final Map<String, Integer> callerPorts = new LinkedHashMap<>();
    private final Map<String, SessionServer> servers = new LinkedHashMap<>();
    private final EventBus bus;
    private final Map<String, Integer> busPorts = new LinkedHashMap<>();
    private final Map<String, List<Integer>> serverPorts = new LinkedHashMap<>();
    private final ScriptedCaller caller;
    /** Listening ports that serve a single link, by {@code from>to}. */
    private final Map<String, RigLoop.Listener> links = new LinkedHashMap<>();

    /**
     * Writes the processes' files without starting them.
     *
     * @param home root of the built project, which contains {@code daemon/target/pathlane.jar} and the voter's jar
     * @param folder empty folder for files, logs and the voters' stores
     */
    public Rig(Shape shape, Path home, Path folder, long seed) throws IOException, InterruptedException {
        this.shape = shape;
        this.folder = folder;
        this.bus = new EventBus(loop, (controller, place) -> serverPorts.get(controller).get(place));
        this.caller = new ScriptedCaller("callers", (seed & 0xffff) << 24 | 0x1000, (name, protocol) -> relay.out("callers",
                protocol, name, new InetSocketAddress("127.0.0.1", callerPorts.get(name))), history);
        Files.writeString(folder.resolve("group.keys"), "k1 " + "5a".repeat(32) + "\n");
        for (int i = 1; i <= shape.servers; i++) {
            String name = "s" + i;
            servers.put(name, loop.call(() -> new SessionServer(name, loop, shape.work, Duration.ZERO, history)));
        }
        voters(home);
        controllers(home, seed);
    }

    private List<String> names(String letter, int count) {
        return IntStream.rangeClosed(1, count).mapToObj(i -> letter + i).toList();
    }

    private String lease() {
        return String.format(Locale.ROOT, "[lease]\nlength-ms = %d\ndrift = %s\nwrite-lag-ms = %d\n",
                shape.lease.length().toMillis(), shape.lease.drift(), shape.lease.writeLag().toMillis());
    }

    private void voters(Path home) throws IOException, InterruptedException {
        List<String> names = names("v", shape.voters);
        Map<String, Integer> own = new LinkedHashMap<>();
        Map<String, Integer> members = new LinkedHashMap<>();
        for (String name : names) {
            own.put(name, Ports.free());
            members.put(name, Ports.free());
        }
        for (String name : names) {
            List<String> among = new ArrayList<>();
            for (String other : names) {
                int port = other.equals(name) ? own.get(name) : link(name, other, own.get(other));
                among.add("\"" + other + "=" + LOOPBACK + port + "\"");
            }
            Path file = folder.resolve(name + ".toml");
            Files.writeString(file, "name = \"" + name + "\"\nmembers = \"" + LOOPBACK + members.get(name) + "\"\nvoters = "
                    + among + "\nkeys = \"group.keys\"\nstore = \"" + name + ".store\"\n" + lease());
            add(name, home.resolve("voter/target/pathlane-voter.jar"), List.of(file.toString()), Map.of());
        }
        voterPorts = members;
    }

    private Map<String, Integer> voterPorts = Map.of();

    private void listen(String from, String to, int port, Supplier<Protocol> protocols) throws InterruptedException {
        links.put(from + ">" + to, loop.listen(port, protocols));
    }

    /** Opens a port through which one process reaches another. */
    private int link(String from, String to, int port) throws InterruptedException {
        int at = Ports.free();
        listen(from, to, at, () -> relay.between(from, to, new InetSocketAddress("127.0.0.1", port)));
        return at;
    }

    private void controllers(Path home, long seed) throws IOException, InterruptedException {
        for (String name : names("n", shape.controllers)) {
            int callers = Ports.free();
            int members = Ports.free();
            int others = Ports.free();
            callerPorts.put(name, callers);
            // All members use the one address from the lease registry: they identify themselves in their first bytes.
            loop.listen(others, () -> relay.between(Rig::greeting, name, new InetSocketAddress("127.0.0.1", members)));
            List<Integer> toServers = new ArrayList<>();
            for (Map.Entry<String, SessionServer> server : servers.entrySet()) {
                int port = Ports.free();
                toServers.add(port);
                listen(name, server.getKey(), port, () -> server.getValue().isUp()
                        ? relay.into(name, server.getKey(), server.getValue().accept(name)) : null);
            }
            serverPorts.put(name, toServers);
            int busPort = Ports.free();
            busPorts.put(name, busPort);
            listen(name, "bus", busPort, () -> relay.into(name, "bus", bus.accept(name)));
            Path config = folder.resolve(name + ".json");
            Files.writeString(config, FleetConfig.text(name, callers, shape.servers, toServers::get, busPort,
                    shape.controllers, seed * shape.controllers + callers));
            List<String> voters = new ArrayList<>();
            for (Map.Entry<String, Integer> voter : voterPorts.entrySet()) {
                voters.add("\"" + LOOPBACK + link(name, voter.getKey(), voter.getValue()) + "\"");
            }
            Path group = folder.resolve(name + ".toml");
            Files.writeString(group, "listen = \"" + LOOPBACK + members + "\"\naddress = \"" + LOOPBACK + others
                    + "\"\nvoters = " + voters + "\nkeys = \"group.keys\"\ncopies = " + shape.copies + "\n" + lease()
                    + "[takeover]\npace = " + shape.pace + "\norphans-s = " + shape.orphans.toSeconds() + "\n");
            add(name, home.resolve("daemon/target/pathlane.jar"), shape.voters == 0 ? List.of("serve")
                    : List.of("serve", "--group", group.toString()), Map.of("RELAY_CONFIG", config.toString()));
        }
    }

    /** The name at the start of a member's connection, once it has been received completely. */
    private static Optional<String> greeting(byte[] first) {
        if (first.length <= GREETING) {
            return Optional.empty();
        }
        ByteBuffer read = ByteBuffer.wrap(first).position(GREETING);
        int key = read.get() & 0xff;
        if (read.remaining() <= key) {
            return Optional.empty();
        }
        read.position(read.position() + key);
        int name = read.get() & 0xff;
        return read.remaining() < name ? Optional.empty()
                : Optional.of(new String(first, read.position(), name, StandardCharsets.UTF_8));
    }

    /** The command that starts a JVM with the program's options, without the program itself. */
    public static List<String> programCommand() {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM);
        return command;
    }

    private void add(String name, Path jar, List<String> arguments, Map<String, String> environment) {
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
        for (String name : processes("n")) {
            awaitLog(name, "serves on", 0);
        }
        onLoop(this::keepConnected);
        for (String name : shape.voters == 0 ? List.<String>of() : processes("n")) {
            awaitLog(name, "lease_valid=true replicated=true members=" + shape.controllers, 0);
        }
    }

    /** Reopens closed client connections: controllers close idle ones, and notify of ends on any open one. */
    private void keepConnected() {
        for (String name : processes("n")) {
            if (processes.get(name).isUp()) {
                caller.connect(name);
            }
        }
        loop.after(REDIAL, this::keepConnected);
    }

    /** Waits for a log line of a process that contains this text, from an index of the history on. */
    void awaitLog(String name, String words, int from) throws InterruptedException {
        history.await("'" + words + "' in the log of " + name, from, 1, MOST_MILLIS,
                event -> event.what() == What.LOGGED && event.who().equals(name) && event.text().contains(words));
    }

    // ---- used by scenarios and measurements

    /** The history of events. */
    public History history() {
        return history;
    }

    /** The longest stall of the test bed's event loop, which is the max error of recorded times. */
    public Duration mostLag() throws InterruptedException {
        return loop.call(loop::mostLag);
    }

    RigProcess process(String name) {
        RigProcess process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException("'" + name + "' is not a known process; known processes: " + processes.keySet());
        }
        return process;
    }

    /** The names of all processes that begin with this prefix. */
    List<String> processes(String letter) {
        return processes.keySet().stream().filter(name -> name.startsWith(letter)).collect(Collectors.toList());
    }

    Map<String, SessionServer> servers() {
        return servers;
    }

    /** Runs a task on the event loop, which owns all simulated parties and faults. */
    void onLoop(Runnable task) throws InterruptedException {
        loop.run(task);
    }

    <T> T ask(java.util.concurrent.Callable<T> task) throws InterruptedException {
        return loop.call(task);
    }

    ScriptedCaller caller() {
        return caller;
    }

    Faults faults() {
        return faults;
    }

    /** Blocks one direction of a link; new connections on it time out. Called on the event loop. */
    void cut(String from, String to) {
        faults.cut(from, to);
        Optional.ofNullable(links.get(from + ">" + to)).ifPresent(RigLoop.Listener::shut);
        Optional.ofNullable(links.get(to + ">" + from)).ifPresent(RigLoop.Listener::shut);
    }

    /** Unblocks both directions of a link. Called on the event loop. */
    void restore(String one, String other) {
        faults.restore(one, other);
        faults.restore(other, one);
        Optional.ofNullable(links.get(one + ">" + other)).ifPresent(RigLoop.Listener::reopen);
        Optional.ofNullable(links.get(other + ">" + one)).ifPresent(RigLoop.Listener::reopen);
    }

    /** Clears all faults. Called on the event loop. */
    void restoreAll() {
        faults.restoreAll();
        links.values().forEach(RigLoop.Listener::reopen);
    }

    /** Crashes a server and publishes that it is gone. Called on the event loop. */
    void gone(String server) {
        servers.get(server).die();
        int place = List.copyOf(servers.keySet()).indexOf(server);
        bus.tell(place + 1, place, GONE, 0);
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
