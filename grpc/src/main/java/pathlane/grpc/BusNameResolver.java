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
 * Follows the event bus: servers with their ids, drains and starts, as soon as the bus tells them. Each address group
 * bears the server's line as an attribute. Everything happens in the channel's synchronization context.
 */
final class BusNameResolver extends NameResolver {

    /** All that the list says of the server at an address. */
    @EquivalentAddressGroup.Attr
    static final Attributes.Key<ServerEndpoint> LINE = Attributes.Key.create("pathlane-server-line");

    private final InetSocketAddress bus;
    private final SocketDialer dialer;
    private final LoopTime time;
    private final Map<Long, ServerEndpoint> lines = new LinkedHashMap<>();
    private Listener2 listener;
    private boolean shutdown;

    BusNameResolver(InetSocketAddress bus, Args args) {
        this.bus = bus;
        this.dialer = new SocketDialer(args.getSynchronizationContext());
        this.time = new LoopTime(args.getScheduledExecutorService(), args.getSynchronizationContext());
    }

    @Override
    public String getServiceAuthority() {
        return "pathlane";
    }

    @Override
    public void start(Listener2 to) {
        listener = to;
        new BusFeed(0, dialer, time, new SplittableRandom(), this::event, () -> {}).follow(bus);
    }

    private void event(ServerList list) {
        if (shutdown) {
            return;
        }
        if (list.whole()) {
            lines.clear();
        }
        for (ServerEndpoint line : list.lines()) {
            if (line.status() == ServerStatus.GONE) {
                lines.remove(line.id());
            } else {
                lines.put(line.id(), line);
            }
        }
        List<EquivalentAddressGroup> groups = new ArrayList<>();
        lines.values().forEach(line -> groups.add(new EquivalentAddressGroup(line.address(),
                Attributes.newBuilder().set(LINE, line).build())));
        listener.onResult2(ResolutionResult.newBuilder().setAddressesOrError(StatusOr.fromValue(groups)).build());
    }

    @Override
    public void shutdown() {
        shutdown = true;
        dialer.close();
    }
}
