package pathlane.diameter;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/** The Diameter front of a call controller: its clients, its server peers, and the server list made of these peers. */
public final class DiameterFront {

    private final DiameterConfig config;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final LocalNode local;
    private final CallController controller;
    private final Map<Long, ServerPeer> servers = new HashMap<>();
    private final List<ClientPeer> clients = new ArrayList<>();

    /** Creates a front without call replication. */
    public DiameterFront(DiameterConfig config, long seed, Connector connector, Scheduler scheduler,
            RandomGenerator random) {
        this(config, seed, connector, scheduler, random, CallReplication.NONE);
    }

    /** Creates a front whose calls are replicated by {@code replication}. */
    public DiameterFront(DiameterConfig config, long seed, Connector connector, Scheduler scheduler,
            RandomGenerator random, CallReplication replication) {
        this.config = config;
        this.scheduler = scheduler;
        this.random = random;
        this.local = new LocalNode(config.host(), config.realm(), config.listen().getAddress().getAddress(),
                config.clientLimits(), new RateLimitedLog("diameter", scheduler));
        // Allows one attempt at a time: a request that timed out may still be running, so it stays outstanding.
        this.controller = new CallController(config.settings().withoutCancellation(), seed, scheduler, endpoint -> {
            DiameterConfig.Peer peer = config.peer(endpoint.id());
            ServerPeer serverPeer =
                    new ServerPeer(peer, local, config.watchdogInterval(), this::controller, connector, scheduler,
                            random, isAvailable -> updateAvailability(peer, isAvailable));
            servers.put(endpoint.id(), serverPeer);
            return serverPeer;
        }, replication);
        controller.updateServers(true, config.peers().stream().map(peer -> endpoint(peer, false)).toList());
    }

    public CallController controller() {
        return controller;
    }

    /** The state machine for a connection that a client has opened. */
    public Protocol accept() {
        ClientPeer client = new ClientPeer(controller, config, local, scheduler, random, this::serverPeer,
                clients::remove);
        clients.add(client);
        return new PeerSession(false, local, scheduler, random, client);
    }

    private Optional<ServerPeer> serverPeer(String host) {
        return config.peers().stream().filter(peer -> peer.host().equals(host)).findFirst()
                .map(peer -> servers.get(peer.id()));
    }

    /** Disconnects from all peers gracefully. */
    public void disconnect() {
        List.copyOf(clients).forEach(ClientPeer::disconnect);
        servers.values().forEach(ServerPeer::disconnect);
    }

    /** Lists an unavailable peer as draining: it gets no new request, and its outstanding requests continue. */
    private void updateAvailability(DiameterConfig.Peer peer, boolean isAvailable) {
        controller.updateServers(false, List.of(endpoint(peer, isAvailable)));
    }

    private static ServerEndpoint endpoint(DiameterConfig.Peer peer, boolean isAvailable) {
        return new ServerEndpoint(peer.id(), peer.address(), isAvailable ? ServerStatus.RUNNING : ServerStatus.DRAINING,
                peer.pool(), 1,
                Instant.EPOCH);
    }
}
