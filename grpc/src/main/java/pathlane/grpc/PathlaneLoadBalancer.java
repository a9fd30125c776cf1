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
 * The plug-in's load balancer in a channel: keeps a connection to each server that the resolver lists and directs each
 * attempt to the server that the controller has chosen. Everything runs in the channel's synchronization context, except
 * the picker, which is thread-safe.
 */
final class PathlaneLoadBalancer extends LoadBalancer {

    private static final Status NOT_ATTACHED = Status.INTERNAL.withDescription(
            "the policy 'pathlane' needs its plug-in: build the channel with Pathlane.attach(builder)");
    private static final Status HAS_SERVERS = Status.UNAVAILABLE.withDescription("the channel has a list of servers");

    private final Helper helper;
    private final Attachment attachment;
    private final Map<List<SocketAddress>, Entry> servers = new HashMap<>();
    private boolean shutdown;
    /** The error that prevents the policy from serving calls, or null. */
    private Status failure;

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
            return failPolicy(NOT_ATTACHED);
        }
        if (resolved.getAddresses().isEmpty() && servers.isEmpty()) {
            Status noServers = Status.UNAVAILABLE.withDescription("the resolver lists no session server");
            handleNameResolutionError(noServers);
            return noServers;
        }
        Map<List<SocketAddress>, ServerEndpoint> endpointsByAddress = new HashMap<>();
        List<ServerEndpoint> orderedEndpoints = new ArrayList<>();
        for (EquivalentAddressGroup group : resolved.getAddresses()) {
            ServerEndpoint endpoint = endpointOf(group, orderedEndpoints.size());
            if (endpointsByAddress.putIfAbsent(group.getAddresses(), endpoint) == null) {
                orderedEndpoints.add(endpoint);
                connect(group, endpoint);
            }
        }
        List<Entry> removed = new ArrayList<>();
        servers.entrySet().removeIf(server -> {
            boolean isGone = !endpointsByAddress.containsKey(server.getKey());
            if (isGone) {
                removed.add(server.getValue());
            }
            return isGone;
        });
        Engine engine = attachment.engine;
        PluginConfig config =
                resolved.getLoadBalancingPolicyConfig() instanceof PluginConfig resolvedConfig ? resolvedConfig : null;
        engine.execute(() -> {
            if (config != null) {
                engine.configure(config);
            }
            String expectedTarget = engine.mismatchedTarget(helper.getChannelTarget());
            if (!engine.isConfigured()) {
                scheduleFailure("pathlane has no settings: set them in its builder or in the service config");
            } else if (expectedTarget != null) {
                scheduleFailure("this plug-in serves channels to " + expectedTarget + ": build another for "
                        + helper.getChannelTarget());
            } else {
                applyServers(orderedEndpoints);
            }
        });
        removed.forEach(this::close);
        updatePicker();
        return resolved.getAddresses().isEmpty()
                ? Status.UNAVAILABLE.withDescription("the resolver no longer lists any session server") : Status.OK;
    }

    /** Runs in the engine's context: updates the controller's servers before calls are admitted. */
    private void applyServers(List<ServerEndpoint> endpoints) {
        attachment.engine.updateServerList(attachment, endpoints);
        attachment.setHasServerList(true);
        helper.getSynchronizationContext().execute(() -> {
            failure = null;   // the service config may now have the missing settings
            updatePicker();   // completes waiting readiness probes
        });
    }

    private void scheduleFailure(String reason) {
        helper.getSynchronizationContext().execute(() -> failPolicy(Status.INTERNAL.withDescription(reason)));
    }

    private Status failPolicy(Status status) {
        failure = status;
        helper.updateBalancingState(ConnectivityState.TRANSIENT_FAILURE, new SubchannelPicker() {
            @Override
            public PickResult pickSubchannel(PickSubchannelArgs args) {
                return PickResult.withDrop(status);
            }
        });
        return status;
    }

    private void connect(EquivalentAddressGroup group, ServerEndpoint endpoint) {
        Entry existing = servers.get(group.getAddresses());
        if (existing != null && existing.path().server == endpoint.id()) {
            return;
        }
        if (existing != null) {
            close(existing);   // a different server at the same address
        }
        Subchannel subchannel = helper.createSubchannel(CreateSubchannelArgs.newBuilder().setAddresses(group).build());
        ServerPath path = new ServerPath(endpoint.id(), subchannel,
                () -> helper.getSynchronizationContext().execute(subchannel::requestConnection));
        servers.put(group.getAddresses(), new Entry(subchannel, path));
        attachment.engine.execute(() -> attachment.addPath(path));
        subchannel.start(info -> subchannelStateChanged(path, subchannel, info));
        subchannel.requestConnection();
    }

    private void subchannelStateChanged(ServerPath path, Subchannel subchannel, ConnectivityStateInfo info) {
        path.setState(info.getState());
        if (info.getState() == ConnectivityState.TRANSIENT_FAILURE || info.getState() == ConnectivityState.IDLE) {
            helper.refreshNameResolution();
        }
        if (info.getState() == ConnectivityState.IDLE) {
            subchannel.requestConnection();
        }
        attachment.engine.execute(path::processStateChange);
        updatePicker();
    }

    private void close(Entry entry) {
        entry.path().setState(ConnectivityState.SHUTDOWN);
        attachment.engine.execute(() -> {
            entry.path().processStateChange();
            attachment.removePath(entry.path());
        });
        entry.subchannel().shutdown();   // open streams continue
    }

    /** Returns the endpoint that the resolver attached, or one made from the address and its position in the list. */
    private static ServerEndpoint endpointOf(EquivalentAddressGroup group, int position) {
        ServerEndpoint endpoint = group.getAttributes().get(BusNameResolver.ENDPOINT);
        if (endpoint != null) {
            return endpoint;
        }
        String text = group.getAddresses().toString();
        SocketAddress first = group.getAddresses().get(0);
        InetSocketAddress address = first instanceof InetSocketAddress inet ? inet
                : InetSocketAddress.createUnresolved(text, 0);
        // A hash gives the same address the same id whenever it is listed again, without keeping state.
        long id = Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
        return new ServerEndpoint(id, address, ServerStatus.RUNNING, position, 1, Instant.EPOCH);
    }

    /** Sets a new picker, so that gRPC evaluates waiting calls again. */
    private void updatePicker() {
        if (shutdown || failure != null) {
            return;
        }
        ConnectivityState state = ConnectivityState.TRANSIENT_FAILURE;
        for (Entry entry : servers.values()) {
            if (entry.path().isReady()) {
                state = ConnectivityState.READY;
            } else if (entry.path().mayConnect() && state != ConnectivityState.READY) {
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
                Status error = attempt.pickError();
                return error == null ? PickResult.withSubchannel(attempt.path.subchannel) : PickResult.withDrop(error);
            }
            PluginCall.ReadinessProbe probe = args.getCallOptions().getOption(PluginCall.READINESS_PROBE);
            if (probe == null) {
                return PickResult.withDrop(NOT_ATTACHED);
            }
            if (!attachment.hasServerList()) {
                return PickResult.withNoResult();
            }
            probe.answered = true;
            return PickResult.withDrop(HAS_SERVERS);
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
            attachment.setHasServerList(false);
            attachment.engine.execute(() -> attachment.engine.removeServerList(attachment));
            servers.values().forEach(this::close);
            servers.clear();
        }
    }
}
