package pathlane.lab.discovery;

import java.net.InetSocketAddress;
import java.util.Optional;
import pathlane.group.AuthenticatedLink;
import pathlane.lab.SimulatedProcess;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** A simulated process of the fleet. It can be killed, paused, resumed and restarted under the same name. */
abstract class FleetProcess {

    private final DiscoveryFleet fleet;
    private final String name;
    private final String zone;
    private final String region;
    private final InetSocketAddress address;
    private SimulatedProcess time;
    private int incarnation;

    FleetProcess(DiscoveryFleet fleet, String name, String zone, String region, int port) {
        this.fleet = fleet;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.address = new InetSocketAddress("127.0.0.1", port);
    }

    /** Creates and starts the state machines of a new incarnation. */
    abstract void startStateMachines(AuthenticatedLink.Context common);

    /** Returns the protocol for an incoming connection, or empty if the process accepts no connections. */
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

    SimulatedProcess time() {
        return time;
    }

    /** Number of starts so far, which identifies the current incarnation. */
    int incarnation() {
        return incarnation;
    }

    boolean isUp() {
        return time != null && !time.isDead();
    }

    /** Whether the process is up and not paused. */
    boolean isRunning() {
        return isUp() && !time.isStopped();
    }

    /** Starts the process without any state; does nothing if it is already up. */
    void start() {
        if (isUp()) {
            return;
        }
        incarnation++;
        time = new SimulatedProcess(fleet.virtualTime(), 1);
        fleet.trace().record(name, "starts, incarnation " + incarnation);
        startStateMachines(
                new AuthenticatedLink.Context(name, fleet::keys, fleet::nonce, time, new RateLimitedLog("discovery", time)));
    }

    /** Kills the process; its peers see their connections close. */
    void kill() {
        if (isUp()) {
            fleet.trace().record(name, "is killed");
            time.kill();
            fleet.faults().processDied(name);
        }
    }

    void pause() {
        fleet.trace().record(name, "is paused");
        time.stop();
    }

    void resume() {
        fleet.trace().record(name, "resumes");
        time.resume();
    }

    @Override
    public String toString() {
        return name;
    }
}
