package pathlane.lab.discovery;

import java.net.InetSocketAddress;
import java.util.Optional;
import pathlane.group.AuthenticatedLink;
import pathlane.lab.ProcessTime;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** A process of the virtual fleet: killed, stopped, continued and started anew under one name. */
abstract class FleetProcess {

    private final DiscoveryFleet fleet;
    private final String name;
    private final String zone;
    private final String region;
    private final InetSocketAddress address;
    private ProcessTime time;
    private int life;

    FleetProcess(DiscoveryFleet fleet, String name, String zone, String region, int port) {
        this.fleet = fleet;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.address = new InetSocketAddress("127.0.0.1", port);
    }

    /** Sets up and starts the state machines of a new life. */
    abstract void begin(AuthenticatedLink.Context common);

    /** A protocol for a connection that came in; empty where nobody listens. */
    abstract Optional<Protocol> accept();

    DiscoveryFleet fleet() {
        return fleet;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    String region() {
        return region;
    }

    InetSocketAddress address() {
        return address;
    }

    ProcessTime time() {
        return time;
    }

    /** Counts the starts. */
    int life() {
        return life;
    }

    boolean isUp() {
        return time != null && !time.isDead();
    }

    /** Whether it is there and not stopped. */
    boolean isRunning() {
        return isUp() && !time.isStopped();
    }

    /** Starts it, empty; nothing where it is there. */
    void start() {
        if (isUp()) {
            return;
        }
        life++;
        time = new ProcessTime(fleet.world(), 1);
        fleet.trace().note(name, "starts, life " + life);
        begin(new AuthenticatedLink.Context(name, fleet::keys, fleet::nonce, time, new RateLimitedLog("discovery", time)));
    }

    /** Its process dies; its connections end at the other sides. */
    void kill() {
        if (isUp()) {
            fleet.trace().note(name, "is killed");
            time.kill();
            fleet.faults().gone(name);
        }
    }

    void stop() {
        fleet.trace().note(name, "is stopped");
        time.stop();
    }

    void goOn() {
        fleet.trace().note(name, "continues");
        time.goOn();
    }

    @Override
    public String toString() {
        return name;
    }
}
