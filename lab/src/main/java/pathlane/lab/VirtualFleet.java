package pathlane.lab;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import pathlane.config.file.NodeConfig;
import pathlane.core.CloseReason;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.group.LeaseTerms;
import pathlane.handover.Handover;
import pathlane.handover.HandoverSettings;
import pathlane.platform.PlatformFront;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/**
 * A fleet simulated in virtual time on one thread: the real platform front, core, decisions, group and handover in each
 * controller, real voters, and simulated servers, event bus and clients, with fault injection on every link. The same seed
 * gives the same history.
 */
public final class VirtualFleet {

    static final Duration LATENCY = Duration.ofMillis(1);
    private static final int CALLER_PORT = 5000;
    private static final int MEMBER_PORT = 7000;
    private static final int VOTER_PORT = 6000;
    private static final int SERVER_PORT = 10_000;
    private static final int BUS_PORT = 9092;
    private static final KeyRing KEYS = KeyRing.read("k1 000102030405060708090a0b0c0d0e0f\n");

    /** Sizes and timings of a fleet. */
    public record Shape(int controllers, int servers, int voters, int replicas, LeaseTerms lease, Duration answerDelay,
            Duration callDuration, int adoptionRate) {}

    /** A simulated controller. */
    public final class Controller {
        final String name;
        final int index;
        SimulatedProcess time;
        PlatformFront front;
        Handover handover;

        Controller(int index) {
            this.index = index;
            this.name = "n" + (index + 1);
        }

        /** Starts a new process with this controller's name. */
        void start() {
            time = new SimulatedProcess(world, 1 + (random.nextDouble() - 0.5) * 2 * shape.lease.drift() * 0.9);
            SimulatedProcess processTime = time;
            Connector connector =
                    (address, timeout, protocol) -> connect(name, address, timeout, processTime.guard(protocol));
            AuthenticatedLink.Context common = new AuthenticatedLink.Context(name, () -> KEYS, () -> nonce(random),
                    processTime, new RateLimitedLog("group", processTime));
            handover =
                    new Handover(
                            new HandoverSettings(name, "127.0.0.1:" + (MEMBER_PORT + index), shape.replicas, shape.lease,
                                    Duration.ofMillis(5), Set.of(), Duration.ofMillis(200), shape.adoptionRate,
                                    Duration.ofSeconds(2),
                                    Duration.ofMillis(215)),
                            random.nextLong(), voterAddresses(), connector, common, processTime::nanos);
            front = new PlatformFront(NodeConfig.parse(ControllerConfig.text(name, CALLER_PORT + index, shape.servers,
                    server -> SERVER_PORT + server, BUS_PORT, shape.controllers, random.nextLong() >>> 1)), connector,
                    processTime,
                    () -> true, Optional::empty, handover);
            handover.start(front.controller());
        }

        /** Kills the process. */
        void kill() {
            time.kill();
            faults.processDied(name);
        }

        boolean isUp() {
            return time != null && !time.isDead();
        }
    }

    private final Shape shape;
    private final VirtualTime world = new VirtualTime();
    private final SplittableRandom random;
    private final Faults faults = new Faults();
    private final History history;
    private final List<Controller> controllers = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<Integer, Function<String, Protocol>> listeners = new HashMap<>();
    private final Map<Integer, String> ownerByPort = new HashMap<>();
    private final List<VirtualVoter> voters = new ArrayList<>();
    private final EventBus bus;
    private final SimulatedClient clients;

    /** Starts all parties. */
    public VirtualFleet(Shape shape, long seed) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
        Instant begin = world.now();
        this.history = new History(() -> Duration.between(begin, world.now()).toNanos());
        this.bus = new EventBus(world, (controller, place) -> SERVER_PORT + place);
        listen(BUS_PORT, "bus", bus::accept);
        for (int i = 0; i < shape.servers; i++) {
            SimulatedServer server =
                    new SimulatedServer("s" + (i + 1), world, shape.answerDelay, shape.callDuration, history);
            servers.add(server);
            listen(SERVER_PORT + i, "s" + (i + 1), from -> server.isUp() ? server.accept(from) : null);
        }
        for (int i = 0; i < shape.voters; i++) {
            VirtualVoter voter = new VirtualVoter("v" + (i + 1), world, faults, random, shape.lease, KEYS);
            voters.add(voter);
            listen(VOTER_PORT + i, voter.name(), from -> voter.isUp() ? voter.accept() : null);
        }
        voters.forEach(voter -> voter.start(voters));
        for (int i = 0; i < shape.controllers; i++) {
            Controller controller = new Controller(i);
            controllers.add(controller);
            listen(CALLER_PORT + i, controller.name, from -> controller.isUp()
                    ? controller.time.guard(controller.front.accept()) : null);
            listen(MEMBER_PORT + i, controller.name, from -> controller.isUp()
                    ? controller.time.guard(controller.handover.accept()) : null);
            controller.start();
        }
        clients = new SimulatedClient("callers", 0x1000, (name, protocol) -> {
            int place = Integer.parseInt(name.substring(1)) - 1;
            connect("callers", new InetSocketAddress("127.0.0.1", CALLER_PORT + place), Duration.ofMillis(500), protocol);
        }, history);
    }

    private static byte[] nonce(SplittableRandom random) {
        byte[] bytes = new byte[16];
        random.nextBytes(bytes);
        return bytes;
    }

    private List<InetSocketAddress> voterAddresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < shape.voters; i++) {
            addresses.add(new InetSocketAddress("127.0.0.1", VOTER_PORT + i));
        }
        return addresses;
    }

    private void listen(int port, String owner, Function<String, Protocol> accepts) {
        listeners.put(port, accepts);
        ownerByPort.put(port, owner);
    }

    /** Connects one party to the listener at a port; a blocked direction makes the attempt time out. */
    private void connect(String from, InetSocketAddress address, Duration timeout, Protocol protocol) {
        String to = ownerByPort.get(address.getPort());
        Function<String, Protocol> accepts = listeners.get(address.getPort());
        world.after(LATENCY, () -> {
            if (to != null && (faults.direction(from, to).isBlocked || faults.direction(to, from).isBlocked)) {
                world.after(timeout, () -> protocol.closed(CloseReason.CONNECT_TIMED_OUT));
                return;
            }
            Protocol accepted = accepts == null ? null : accepts.apply(from);
            if (accepted == null) {
                protocol.closed(CloseReason.REFUSED);
            } else {
                new FaultyConnection(world, faults, LATENCY, from, protocol, to, accepted);
            }
        });
    }

    // ---- used by schedules and measurements

    public VirtualTime world() {
        return world;
    }

    public Faults faults() {
        return faults;
    }

    public History history() {
        return history;
    }

    public List<Controller> controllers() {
        return controllers;
    }

    public List<SimulatedServer> servers() {
        return servers;
    }

    public List<VirtualVoter> voters() {
        return voters;
    }

    public SimulatedClient clients() {
        return clients;
    }

    public EventBus bus() {
        return bus;
    }

    /** The controllers whose processes are running. */
    public List<Controller> running() {
        return controllers.stream().filter(Controller::isUp).toList();
    }

    /** Advances time until a condition holds, polling every 50 ms; false if it did not hold within the timeout. */
    public boolean advanceUntil(Duration timeout, java.util.function.BooleanSupplier condition) {
        for (long left = timeout.toMillis(); left > 0 && !condition.getAsBoolean(); left -= 50) {
            world.advance(50);
        }
        return condition.getAsBoolean();
    }

    /** The holder's name of each fencing token whose lease is valid now. */
    public Map<Long, String> validLeaseHolders() {
        Map<Long, String> holders = new HashMap<>();
        for (Controller one : running()) {
            if (!one.time.isStopped() && one.handover.isLeaseValid()) {
                holders.put(one.handover.token(), one.name);
            }
        }
        return holders;
    }
}
