package pathlane.grpc;

import com.google.common.hash.Hashing;
import io.grpc.ConnectivityState;
import io.grpc.ConnectivityStateInfo;
import io.grpc.EquivalentAddressGroup;
import io.grpc.LoadBalancer;
import io.grpc.Status;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * The channel's side of the plug-in: keeps a connection to each server that the resolver names, and leads each attempt
 * to the one that the module chose. Everything here happens in the channel's synchronization context, but for the
 * picker, which any thread may ask.
 */
final class PathlaneLoadBalancer extends LoadBalancer {

    private static final Status NOT_ATTACHED = Status.INTERNAL.withDescription(
            "the policy 'pathlane' needs its plug-in: build the channel with Pathlane.attach(builder)");
    private static final Status HEARD = Status.UNAVAILABLE.withDescription("the channel has its servers");

    private final Helper helper;
    private final Attachment attachment;
    private final Map<List<SocketAddress>, Entry> servers = new HashMap<>();
    private boolean shutdown;
    /** What keeps the policy from serving at all; null while nothing does. */
    private Status broken;

    private record Entry(Subchannel subchannel, ServerPath path) {}

    PathlaneLoadBalancer(Helper helper) {
        this.helper = helper;
        this.attachment = helper.getNameResolverArgs().getArg(Attachment.KEY);
    }

    @Override
    public boolean canHandleEmptyAddressListFromNameResolution() {
        return true;
    }

    @Override
    public Status acceptResolvedAddresses(ResolvedAddresses resolved) {
        if (attachment == null) {
            return unusable(NOT_ATTACHED);
        }
        if (resolved.getAddresses().isEmpty() && servers.isEmpty()) {
            Status none = Status.UNAVAILABLE.withDescription("the resolver names no session server");
            handleNameResolutionError(none);
            return none;
        }
        Map<List<SocketAddress>, ServerEndpoint> lines = new HashMap<>();
        List<ServerEndpoint> inOrder = new ArrayList<>();
        for (EquivalentAddressGroup group : resolved.getAddresses()) {
            ServerEndpoint line = line(group, inOrder.size());
            if (lines.putIfAbsent(group.getAddresses(), line) == null) {
                inOrder.add(line);
                connect(group, line);
            }
        }
        List<Entry> left = new ArrayList<>();
        servers.entrySet().removeIf(one -> {
            boolean gone = !lines.containsKey(one.getKey());
            if (gone) {
                left.add(one.getValue());
            }
            return gone;
        });
        Engine engine = attachment.engine;
        PluginConfig config = resolved.getLoadBalancingPolicyConfig() instanceof PluginConfig told ? told : null;
        engine.execute(() -> {
            if (config != null) {
                engine.configure(config);
            }
            String other = engine.otherTarget(helper.getChannelTarget());
            if (!engine.isConfigured()) {
                unusableSoon("pathlane has no settings: give them to its builder or in the service config");
            } else if (other != null) {
                unusableSoon("this plug-in serves channels to " + other + ": build another for "
                        + helper.getChannelTarget());
            } else {
                servers(inOrder);
            }
        });
        left.forEach(this::close);
        update();
        return resolved.getAddresses().isEmpty()
                ? Status.UNAVAILABLE.withDescription("the resolver names no session server any more") : Status.OK;
    }

    /** In the engine's turn: the controller hears of its servers, then calls may come. */
    private void servers(List<ServerEndpoint> lines) {
        attachment.engine.named(attachment, lines);
        attachment.listed(true);
        helper.getSynchronizationContext().execute(() -> {
            broken = null;   // what the service config lacked may have come
            update();        // calls that knocked are heard now
        });
    }

    private void unusableSoon(String why) {
        helper.getSynchronizationContext().execute(() -> unusable(Status.INTERNAL.withDescription(why)));
    }

    private Status unusable(Status why) {
        broken = why;
        helper.updateBalancingState(ConnectivityState.TRANSIENT_FAILURE, new SubchannelPicker() {
            @Override
            public PickResult pickSubchannel(PickSubchannelArgs args) {
                return PickResult.withDrop(why);
            }
        });
        return why;
    }

    private void connect(EquivalentAddressGroup group, ServerEndpoint line) {
        Entry known = servers.get(group.getAddresses());
        if (known != null && known.path().server == line.id()) {
            return;
        }
        if (known != null) {
            close(known);   // another server at the same address
        }
        Subchannel subchannel = helper.createSubchannel(CreateSubchannelArgs.newBuilder().setAddresses(group).build());
        ServerPath path = new ServerPath(line.id(), subchannel,
                () -> helper.getSynchronizationContext().execute(subchannel::requestConnection));
        servers.put(group.getAddresses(), new Entry(subchannel, path));
        attachment.engine.execute(() -> attachment.put(path));
        subchannel.start(info -> changed(path, subchannel, info));
        subchannel.requestConnection();
    }

    private void changed(ServerPath path, Subchannel subchannel, ConnectivityStateInfo info) {
        path.state(info.getState());
        if (info.getState() == ConnectivityState.TRANSIENT_FAILURE || info.getState() == ConnectivityState.IDLE) {
            helper.refreshNameResolution();
        }
        if (info.getState() == ConnectivityState.IDLE) {
            subchannel.requestConnection();
        }
        attachment.engine.execute(path::settle);
        update();
    }

    private void close(Entry entry) {
        entry.path().state(ConnectivityState.SHUTDOWN);
        attachment.engine.execute(() -> {
            entry.path().settle();
            attachment.remove(entry.path());
        });
        entry.subchannel().shutdown();   // streams that are open go on
    }

    /** Where the server stands in the resolver's list, unless the resolver tells all of it. */
    private static ServerEndpoint line(EquivalentAddressGroup group, int place) {
        ServerEndpoint told = group.getAttributes().get(BusNameResolver.LINE);
        if (told != null) {
            return told;
        }
        String text = group.getAddresses().toString();
        SocketAddress first = group.getAddresses().get(0);
        InetSocketAddress address = first instanceof InetSocketAddress inet ? inet
                : InetSocketAddress.createUnresolved(text, 0);
        // The same address has the same id whenever it comes back, without anything being kept for it.
        long id = Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
        return new ServerEndpoint(id, address, ServerStatus.RUNNING, place, 1, Instant.EPOCH);
    }

    /** A fresh picker, so that what waits is asked for again. */
    private void update() {
        if (shutdown || broken != null) {
            return;
        }
        ConnectivityState state = ConnectivityState.TRANSIENT_FAILURE;
        for (Entry entry : servers.values()) {
            if (entry.path().isReady()) {
                state = ConnectivityState.READY;
            } else if (entry.path().mayComeUp() && state != ConnectivityState.READY) {
                state = ConnectivityState.CONNECTING;
            }
        }
        helper.updateBalancingState(state, new Picker(attachment));
    }

    private static final class Picker extends SubchannelPicker {

        private final Attachment attachment;

        Picker(Attachment attachment) {
            this.attachment = attachment;
        }

        @Override
        public PickResult pickSubchannel(PickSubchannelArgs args) {
            Attempt<?, ?> attempt = args.getCallOptions().getOption(Attempt.KEY);
            if (attempt != null) {
                Status why = attempt.whyNot();
                return why == null ? PickResult.withSubchannel(attempt.path.subchannel) : PickResult.withDrop(why);
            }
            PluginCall.Knock knock = args.getCallOptions().getOption(PluginCall.KNOCK);
            if (knock == null) {
                return PickResult.withDrop(NOT_ATTACHED);
            }
            if (!attachment.isListed()) {
                return PickResult.withNoResult();
            }
            knock.heard = true;
            return PickResult.withDrop(HEARD);
        }
    }

    @Override
    public void handleNameResolutionError(Status error) {
        if (!servers.isEmpty()) {
            return;   // the last list stays in force
        }
        helper.updateBalancingState(ConnectivityState.TRANSIENT_FAILURE, new SubchannelPicker() {
            @Override
            public PickResult pickSubchannel(PickSubchannelArgs args) {
                return PickResult.withError(error);
            }
        });
    }

    @Override
    public void shutdown() {
        shutdown = true;
        if (attachment != null) {
            attachment.listed(false);
            attachment.engine.execute(() -> attachment.engine.silent(attachment));
            servers.values().forEach(this::close);
            servers.clear();
        }
    }
}
