package pathlane.diameter;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.core.CallController;
import pathlane.core.CallReplication;
import pathlane.core.Scheduler;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** The Diameter front of a call controller: its clients, its server peers, and the list that these make up. */
public final class DiameterFront {

    private final DiameterConfig config;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final LocalNode local;
    private final CallController controller;
    private final Map<Long, ServerPeer> servers = new HashMap<>();
    private final List<ClientPeer> clients = new ArrayList<>();

    /** In no group. */
    public DiameterFront(DiameterConfig config, long seed, Connector dialer, Scheduler scheduler,
            RandomGenerator random) {
        this(config, seed, dialer, scheduler, random, CallReplication.NONE);
    }

    /** {@code replication} keeps records of calls elsewhere. */
    public DiameterFront(DiameterConfig config, long seed, Connector dialer, Scheduler scheduler,
            RandomGenerator random, CallReplication replication) {
        this.config = config;
        this.scheduler = scheduler;
        this.random = random;
        this.local = new LocalNode(config.host(), config.realm(), config.listen().getAddress().getAddress(),
                config.callers(), new RateLimitedLog("diameter", scheduler));
        // Guards the rule of one attempt: a request that is given up may still run, and stays out.
        this.controller = new CallController(config.settings().withoutCancellation(), seed, scheduler, line -> {
            DiameterConfig.Peer peer = config.peer(line.id());
            ServerPeer port = new ServerPeer(peer, local, config.watchdog(), this::controller, dialer, scheduler,
                    random, available -> list(peer, available));
            servers.put(line.id(), port);
            return port;
        }, replication);
        controller.updateServers(true, config.peers().stream().map(peer -> line(peer, false)).toList());
    }

    public CallController controller() {
        return controller;
    }

    /** The state machine for a connection that a client has opened. */
    public Protocol accept() {
        ClientPeer client = new ClientPeer(controller, config, local, scheduler, random, clients::remove);
        clients.add(client);
        return new PeerSession(false, local, scheduler, random, client);
    }

    /** Parts from all peers in order. */
    public void disconnect() {
        List.copyOf(clients).forEach(ClientPeer::disconnect);
        servers.values().forEach(ServerPeer::disconnect);
    }

    /** A peer that takes nothing new is listed like one that drains: what is out there goes on. */
    private void list(DiameterConfig.Peer peer, boolean available) {
        controller.updateServers(false, List.of(line(peer, available)));
    }

    private static ServerEndpoint line(DiameterConfig.Peer peer, boolean available) {
        return new ServerEndpoint(peer.id(), peer.address(), available ? ServerStatus.RUNNING : ServerStatus.DRAINING,
                peer.cell(), 1,
                Instant.EPOCH);
    }
}
