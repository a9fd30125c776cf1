package pathlane.lab.capacity.measure;

import java.time.Duration;
import java.util.function.IntUnaryOperator;
import pathlane.lab.ControllerConfig;
import pathlane.lab.EventBus;
import pathlane.lab.SimulatedServer;
import pathlane.lab.rig.Ports;
import pathlane.lab.rig.RigLoop;

/**
 * The simulated peers of one controller, on loopback: the event bus, and one server that accepts the connections to all
 * listed session servers. It answers a call request at once and reports its capacity each second on each connection.
 */
final class SimulatedPlatform implements AutoCloseable {

    /** Enough descriptors for a connection to each of several thousand listed servers. */
    private static final int DESCRIPTORS_FOR_MANY_SERVERS = 16_384;
    /** Listen backlog: a start connects to hundreds of listed servers at once, all at the same port. */
    private static final int LISTEN_BACKLOG = 4_096;
    private static final int CONTROLLERS = 100;
    private static final long SEED = 7;
    private static final double NANOS_IN_SECOND = 1e9;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final int DEFAULT_DESCRIPTORS = 1024;
    /** A port without a listener. */
    private static final int UNUSED_PORT = 9;

    private final RigLoop loop = new RigLoop();
    private final TrafficCounter sentByBus = new TrafficCounter();
    private final TrafficCounter sentByServers = new TrafficCounter();
    private final int clientPort = Ports.findFree();
    private final int serverPort = Ports.findFree();
    private final int busPort = Ports.findFree();
    private final EventBus bus;
    private volatile int generations;
    private volatile long events;

    SimulatedPlatform() throws InterruptedException {
        bus = loop.call(() -> new EventBus(loop, (controller, place) -> UNUSED_PORT));
        SimulatedServer servers = loop.call(() -> new SimulatedServer("servers", loop, Duration.ZERO, Duration.ZERO,
                (what, who, peer, call, text) -> {}));
        loop.listen(serverPort, LISTEN_BACKLOG, () -> sentByServers.counting(servers.accept("n1")));
        loop.listen(busPort, () -> sentByBus.counting(bus.accept("n1")));
    }

    /** Returns a controller's configuration in which the first servers accept connections, and the others refuse them. */
    String config(int listed, int reachable) {
        IntUnaryOperator port = index -> index < reachable ? serverPort : UNUSED_PORT;
        String config = ControllerConfig.text("n1", clientPort, listed, port, busPort, CONTROLLERS, SEED);
        return reachable == 0 ? config
                : config.replace("\"sockets\":" + DEFAULT_DESCRIPTORS, "\"sockets\":" + DESCRIPTORS_FOR_MANY_SERVERS);
    }

    /** Has the bus send this many changes per second from now on, each of one unreachable server. */
    void sendEvents(int perSecond, int listed) throws InterruptedException {
        long start = System.nanoTime();
        long before = events;
        int generation = ++generations;
        loop.run(() -> tick(perSecond, listed, start, before, generation));
    }

    /** Sends all events that are due by the clock, so that a late tick loses none. */
    private void tick(int perSecond, int listed, long start, long before, int generation) {
        if (generation != generations) {
            return;   // replaced by a newer rate
        }
        long due = before + (long) ((System.nanoTime() - start) / NANOS_IN_SECOND * perSecond);
        while (events < due) {
            int index = (int) (events / 2 % listed);
            bus.publish(index + 1, index, events++ % 2 == 0 ? BusFrames.DRAINING : BusFrames.READY, 0);
        }
        loop.after(TICK_INTERVAL, () -> tick(perSecond, listed, start, before, generation));
    }

    TrafficCounter sentByBus() {
        return sentByBus;
    }

    TrafficCounter sentByServers() {
        return sentByServers;
    }

    /** The port at which clients reach the controller. */
    int clientPort() {
        return clientPort;
    }

    /** The port of the simulated server, for calls without a controller. */
    int serverPort() {
        return serverPort;
    }

    @Override
    public void close() {
        loop.close();
    }
}
