package pathlane.grpc;

import io.grpc.Attributes;
import io.grpc.EquivalentAddressGroup;
import io.grpc.NameResolver;
import io.grpc.StatusOr;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pathlane.bus.BusFeed;
import pathlane.bus.ServerList;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * Follows the event bus, which announces servers with their ids, drains and starts. Each address group carries the
 * server's endpoint as an attribute. Everything happens in the channel's synchronization context.
 */
final class BusNameResolver extends NameResolver {

    /** The endpoint list's entry for the server at an address. */
    @EquivalentAddressGroup.Attr
    static final Attributes.Key<ServerEndpoint> ENDPOINT = Attributes.Key.create("pathlane-server-line");

    private final InetSocketAddress bus;
    private final SocketConnector connector;
    private final ExecutorScheduler scheduler;
    private final Map<Long, ServerEndpoint> endpoints = new LinkedHashMap<>();
    private Listener2 listener;
    private boolean shutdown;

    BusNameResolver(InetSocketAddress bus, Args args) {
        this.bus = bus;
        this.connector = new SocketConnector(args.getSynchronizationContext());
        this.scheduler = new ExecutorScheduler(args.getScheduledExecutorService(), args.getSynchronizationContext());
    }

    @Override
    public String getServiceAuthority() {
        return "pathlane";
    }

    @Override
    public void start(Listener2 resolutionListener) {
        listener = resolutionListener;
        new BusFeed(0, connector, scheduler, new SplittableRandom(), this::updateServers, () -> {}).follow(bus);
    }

    private void updateServers(ServerList list) {
        if (shutdown) {
            return;
        }
        if (list.isComplete()) {
            endpoints.clear();
        }
        for (ServerEndpoint endpoint : list.endpoints()) {
            if (endpoint.status() == ServerStatus.GONE) {
                endpoints.remove(endpoint.id());
            } else {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
        List<EquivalentAddressGroup> groups = new ArrayList<>();
        endpoints.values().forEach(endpoint -> groups.add(new EquivalentAddressGroup(endpoint.address(),
                Attributes.newBuilder().set(ENDPOINT, endpoint).build())));
        listener.onResult2(ResolutionResult.newBuilder().setAddressesOrError(StatusOr.fromValue(groups)).build());
    }

    @Override
    public void shutdown() {
        shutdown = true;
        connector.close();
    }
}
