package pathlane.lab.capacity.measure;

import java.time.Duration;
import java.util.function.IntUnaryOperator;
import pathlane.lab.EventBus;
import pathlane.lab.FleetConfig;
import pathlane.lab.SessionServer;
import pathlane.lab.rig.Ports;
import pathlane.lab.rig.RigLoop;

/**
 * What one controller meets, on loopback: the event bus, and one stand-in that takes the connections to all session servers
 * of the list. It answers a set-up at once and reports its capacity each second on each connection.
 */
final class StandInPlatform implements AutoCloseable {

    /** Enough descriptors for a connection to each of some thousand listed servers. */
    private static final int MANY_DESCRIPTORS = 16_384;
    /** A start dials hundreds of listed servers at once, and all come to the one port. */
    private static final int MANY_AT_ONCE = 4_096;
    private static final int CONTROLLERS = 100;
    private static final long SEED = 7;
    private static final double NANOS_IN_SECOND = 1e9;
    private static final Duration TICK = Duration.ofMillis(10);
    private static final int USUAL_DESCRIPTORS = 1024;
    /** A port at which nobody listens. */
    private static final int NOBODY = 9;

    private final RigLoop loop = new RigLoop();
    private final CountedBytes toldByBus = new CountedBytes();
    private final CountedBytes toldByServers = new CountedBytes();
    private final int callerPort = Ports.free();
    private final int serverPort = Ports.free();
    private final int busPort = Ports.free();
    private final EventBus bus;
    private volatile int rates;
    private volatile long events;

    StandInPlatform() throws InterruptedException {
        bus = loop.call(() -> new EventBus(loop, (controller, place) -> NOBODY));
        SessionServer servers = loop.call(() -> new SessionServer("servers", loop, Duration.ZERO, Duration.ZERO,
                (what, who, peer, call, text) -> {}));
        loop.listen(serverPort, MANY_AT_ONCE, () -> toldByServers.counting(servers.accept("n1")));
        loop.listen(busPort, () -> toldByBus.counting(bus.accept("n1")));
    }

    /** A controller's configuration in which the first servers can be reached, and the others refuse each connection. */
    String config(int listed, int reachable) {
        IntUnaryOperator port = place -> place < reachable ? serverPort : NOBODY;
        String config = FleetConfig.text("n1", callerPort, listed, port, busPort, CONTROLLERS, SEED);
        return reachable == 0 ? config
                : config.replace("\"sockets\":" + USUAL_DESCRIPTORS, "\"sockets\":" + MANY_DESCRIPTORS);
    }

    /** From now on the bus tells so many changes a second, each of one server that cannot be reached. */
    void tellEvents(int perSecond, int listed) throws InterruptedException {
        long begun = System.nanoTime();
        long before = events;
        int generation = ++rates;
        loop.run(() -> tick(perSecond, listed, begun, before, generation));
    }

    /** As many events as are due by the clock: a tick that is late loses none. */
    private void tick(int perSecond, int listed, long begun, long before, int generation) {
        if (generation != rates) {
            return;   // another rate is told now
        }
        long due = before + (long) ((System.nanoTime() - begun) / NANOS_IN_SECOND * perSecond);
        while (events < due) {
            int place = (int) (events / 2 % listed);
            bus.tell(place + 1, place, events++ % 2 == 0 ? BusFrames.DRAINING : BusFrames.READY, 0);
        }
        loop.after(TICK, () -> tick(perSecond, listed, begun, before, generation));
    }

    CountedBytes toldByBus() {
        return toldByBus;
    }

    CountedBytes toldByServers() {
        return toldByServers;
    }

    /** Where callers reach the controller. */
    int callerPort() {
        return callerPort;
    }

    /** Where a call reaches the stand-in server with no controller between. */
    int serverPort() {
        return serverPort;
    }

    @Override
    public void close() {
        loop.close();
    }
}
