package pathlane.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import pathlane.decision.ServerStatus;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.lab.EventRecorder.EventKind;
import pathlane.lab.Faults;
import pathlane.lab.History;

/**
 * Test bed for discovery with real processes on loopback: a source {@code s} and relays, each a process of the built jar,
 * with a simulated event bus and watch clients, and a {@link Relay} on every link. It knows which servers the event bus has
 * published, and so the state that every client must reach. It ends every process that it starts, by its process id. Used
 * from one thread.
 */
public final class DiscoveryRig implements AutoCloseable {

    /** The party name of the source. */
    public static final String SOURCE = "s";
    /** The party name of the event bus. */
    public static final String BUS = "bus";

    /** A relay and the publishers it watches. */
    public record RelayShape(String name, String zone, String region, List<String> upstreams) {}

    /** A watch client, the publishers it may use and the services it watches. */
    public record ClientShape(String name, String zone, String region, List<String> publishers, List<String> services) {}

    /**
     * The parties of a test bed.
     *
     * @param services the services of the cells 0, 1, ...
     * @param limits the content of the publishers' {@code [limits]} section
     */
    public record Shape(List<String> services, List<RelayShape> relays, List<ClientShape> clients, String limits) {}

    private static final long TIMEOUT_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final String HOST = "127.0.0.1";
    static final String KEYS = "k1 " + "5a".repeat(32) + "\n";
    private static final String WATCH_SECTION =
            "[watch]\nbackoff-first-ms = 50\nbackoff-most-ms = 400\nsilent-after-ms = 2000\n"
                    + "return-within-ms = 200\n";
    private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
            "-Xmx128m", "-Xss512k", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true");

    private final Shape shape;
    private final Path folder;
    private final SplittableRandom random;
    private final RigLoop loop = new RigLoop();
    private final History history = new History(System::nanoTime);
    private final Faults faults = new Faults();
    private final Relay relay = new Relay(loop, faults);
    private final PublishedServers publishedServers;
    private final Map<String, RigProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();
    /** Listening ports that serve a single link, by {@code from>to}. */
    private final Map<String, RigLoop.Listener> links = new HashMap<>();
    private final WatchClients clients;
    private final Set<String> stoppedProcesses = new HashSet<>();

    /**
     * Writes the processes' files without starting them.
     *
     * @param projectRoot root of the built project, which contains the relay's jar
     * @param folder empty folder for files and logs
     * @param seed for the clients' random draws
     */
    public DiscoveryRig(Shape shape, Path projectRoot, Path folder, long seed) throws IOException, InterruptedException {
        this.shape = shape;
        this.folder = folder;
        this.random = new SplittableRandom(seed);
        Files.writeString(folder.resolve("discovery.keys"), KEYS);
        publishedServers = new PublishedServers(loop, shape.services);
        clients = new WatchClients(loop, publishedServers, relay, random);
        Path jar = projectRoot.resolve("relay/target/pathlane-relay.jar");
        ports.put(SOURCE, Ports.findFree());
        for (RelayShape one : shape.relays) {
            ports.put(one.name, Ports.findFree());
        }
        addProcess(SOURCE, jar, sourceSettings());
        for (RelayShape one : shape.relays) {
            addProcess(one.name, jar, relaySettings(one));
        }
        shape.clients.forEach(one -> clients.add(one, one.publishers.stream().map(this::publisherAddress).toList()));
    }

    private String commonSettings(String role, String name) {
        return "role = '" + role + "'\nname = '" + name + "'\nlisten = '" + HOST + ":" + ports.get(name)
                + "'\nkeys = 'discovery.keys'\n";
    }

    private String limitsSection() {
        return "[limits]\n" + shape.limits;
    }

    private String sourceSettings() throws InterruptedException {
        int port = Ports.findFree();
        links.put(SOURCE + ">" + BUS,
                loop.listen(port, () -> relay.forwardTo(SOURCE, BUS, publishedServers.accept(SOURCE))));
        StringBuilder services = new StringBuilder("[services]\n");
        for (int cell = 0; cell < shape.services.size(); cell++) {
            services.append(shape.services.get(cell)).append(" = [").append(cell).append("]\n");
        }
        return commonSettings("source", SOURCE) + "epoch-file = 's.epoch'\nbus = '" + HOST + ":" + port + "'\n" + services
                + limitsSection();
    }

    private String relaySettings(RelayShape one) throws InterruptedException {
        StringBuilder text = new StringBuilder(commonSettings("relay", one.name)).append("zone = '").append(one.zone)
                .append("'\nregion = '").append(one.region).append("'\n");
        for (String upstream : one.upstreams) {
            int port = Ports.findFree();
            InetSocketAddress target = new InetSocketAddress(HOST, ports.get(upstream));
            links.put(one.name + ">" + upstream, loop.listen(port, () -> relay.forward(one.name, upstream, target)));
            PublisherAddress address = publisherAddress(upstream);
            text.append("[[publishers]]\nname = '").append(upstream).append("'\naddress = '").append(HOST).append(':')
                    .append(port).append("'\nzone = '").append(address.zone()).append("'\nregion = '")
                    .append(address.region())
                    .append("'\n");
        }
        return text.append(WATCH_SECTION).append(limitsSection()).toString();
    }

    /** A publisher's address for clients: its own port, since clients use the relay within the test bed's process. */
    private PublisherAddress publisherAddress(String publisher) {
        InetSocketAddress address = new InetSocketAddress(HOST, ports.get(publisher));
        return shape.relays.stream().filter(one -> one.name.equals(publisher)).findFirst()
                .map(one -> new PublisherAddress(publisher, address, one.zone, one.region))
                .orElse(new PublisherAddress(publisher, address, "", ""));
    }

    private void addProcess(String name, Path jar, String text) throws IOException {
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException(jar + " is missing: build the project first (mvn -q -DskipTests package)");
        }
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, text);
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-jar", jar.toString(), file.toString()));
        processes.put(name, new RigProcess(name, command, Map.of(), folder.resolve(name + ".log"), history));
    }

    /** Starts all processes and clients, and waits until every client agrees with the event bus. */
    public void start() throws InterruptedException {
        for (String name : processes.keySet()) {
            start(name);
        }
        clients.start();
        clients.awaitAgreement();
    }

    // ---- event bus

    /** Adds this many servers to a service. Returns their ids. */
    public List<Long> addServers(String service, int count) throws InterruptedException {
        return loop.call(() -> publishedServers.add(service, count));
    }

    /** Publishes that these servers of a service are draining. */
    public void drainServers(String service, List<Long> ids) throws InterruptedException {
        loop.run(() -> ids.forEach(id -> publishedServers.publish(id, service, ServerStatus.DRAINING)));
    }

    /** Publishes that these servers of a service are gone. */
    public void removeServers(String service, List<Long> ids) throws InterruptedException {
        loop.run(() -> ids.forEach(id -> publishedServers.publish(id, service, ServerStatus.GONE)));
    }

    // ---- processes and links

    RigProcess process(String name) {
        return processes.get(name);
    }

    /** Starts a process and waits until it accepts subscribers. */
    public void start(String name) throws InterruptedException {
        int from = history.size();
        process(name).start();
        awaitLog(name, "serves on", from);
    }

    /** SIGKILL. */
    public void kill(String name) throws InterruptedException {
        process(name).kill();
    }

    /** SIGSTOP. */
    public void stop(String name) throws InterruptedException {
        process(name).stop();
        stoppedProcesses.add(name);
    }

    /** SIGCONT. */
    public void resume(String name) throws InterruptedException {
        stoppedProcesses.remove(name);
        process(name).resume();
    }

    /** Blocks both directions between two parties; new connections time out. */
    public void block(String one, String other) throws InterruptedException {
        loop.run(() -> {
            faults.block(one, other);
            faults.block(other, one);
            Optional.ofNullable(links.get(one + ">" + other)).ifPresent(RigLoop.Listener::stopAccepting);
            Optional.ofNullable(links.get(other + ">" + one)).ifPresent(RigLoop.Listener::stopAccepting);
        });
    }

    /** Unblocks both directions and delivers the held bytes. */
    public void restore(String one, String other) throws InterruptedException {
        loop.run(() -> {
            faults.restore(one, other);
            faults.restore(other, one);
            faults.delay(one, other, Duration.ZERO);
            Optional.ofNullable(links.get(one + ">" + other)).ifPresent(RigLoop.Listener::resumeAccepting);
            Optional.ofNullable(links.get(other + ">" + one)).ifPresent(RigLoop.Listener::resumeAccepting);
        });
    }

    /** Leaves the connections between two parties half open: only the first sees them closed. */
    public void halfOpen(String notified, String other) throws InterruptedException {
        loop.run(() -> faults.halfOpen(notified, other));
    }

    /** Adds latency in one direction. */
    public void delay(String from, String to, Duration delay) throws InterruptedException {
        loop.run(() -> faults.delay(from, to, delay));
    }

    // ---- waiting and checking

    /** The number of events so far, as a start index for {@link #awaitLog}. */
    public int eventCount() {
        return history.size();
    }

    /** Waits for a log line of a process that matches this expression, from an index of the history on. */
    public void awaitLog(String name, String expression, int from) throws InterruptedException {
        Predicate<String> matches = Pattern.compile(expression).asPredicate();
        history.await("'" + expression + "' in the log of " + name, from, 1, TIMEOUT_MILLIS,
                event -> event.kind() == EventKind.LOGGED && event.party().equals(name) && matches.test(event.text()));
    }

    /** Waits until this many more bytes have been sent from one party to another, over any connections. */
    public void awaitBytes(String from, String to, long more) throws InterruptedException {
        long wanted = loop.call(() -> faults.bytes(from, to)) + more;
        clients.await(more + " bytes from " + from + " to " + to, () -> faults.bytes(from, to) >= wanted);
    }

    /** The watch clients. */
    public WatchClients clients() {
        return clients;
    }

    /**
     * Clears all faults, waits until every client agrees with the event bus, and returns the violations that the clients
     * have observed, in order.
     */
    public List<String> clearFaultsAndCheck() throws InterruptedException {
        for (String name : List.copyOf(stoppedProcesses)) {
            resume(name);
        }
        loop.run(() -> {
            faults.restoreAll();
            links.values().forEach(RigLoop.Listener::resumeAccepting);
        });
        for (String name : processes.keySet()) {
            if (!process(name).isUp()) {
                start(name);
            }
        }
        clients.awaitAgreement();
        return clients.violations();
    }

    /** Writes the history to a file beside the logs. */
    public void writeHistory() throws IOException {
        Files.write(folder.resolve("history.txt"), history.events().stream().map(History.Event::toString).toList());
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
