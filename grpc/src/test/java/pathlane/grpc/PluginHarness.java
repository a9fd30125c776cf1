package pathlane.grpc;

import io.grpc.Attributes;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.EquivalentAddressGroup;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.NameResolver;
import io.grpc.NameResolverProvider;
import io.grpc.NameResolverRegistry;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.StatusOr;
import io.grpc.SynchronizationContext;
import io.grpc.inprocess.InProcessChannelBuilder;
import io.grpc.inprocess.InProcessServerBuilder;
import io.grpc.inprocess.InProcessSocketAddress;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import pathlane.core.ServerEndpoint;
import pathlane.standin.AttemptRuleChecker;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;
import pathlane.standin.VirtualTime;

/** Runs stand-in servers, a resolver and a plug-in's channels on one thread and in virtual time. */
final class PluginHarness implements AutoCloseable {

    static final String SETTINGS = """
            {"balancers": 1, "tick-ms": 5,
             "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                       {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6,
                        "late-value": 0.1}],
             "ceilings": {"cancelling": true, "max-attempts": 6, "dial-timeout-ms": 500, "retry-after": true,
                          "max-retry-after-ms": 2000},
             "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
             "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}
            """;
    private static final AtomicInteger HARNESS_COUNT = new AtomicInteger();

    /** Records what the application receives for one call. */
    final class Response extends ClientCall.Listener<byte[]> {
        ClientCall<byte[], byte[]> call;
        final List<String> messages = new ArrayList<>();
        Status status;
        Metadata trailers;
        int closeCount;
        double closedAtMs;
        double firstMessageAtMs = Double.NaN;
        Runnable onClose = () -> {};

        @Override
        public void onMessage(byte[] message) {
            firstMessageAtMs = Double.isNaN(firstMessageAtMs) ? time.nowMs() : firstMessageAtMs;
            messages.add(new String(message, StandardCharsets.UTF_8));
        }

        @Override
        public void onClose(Status closeStatus, Metadata closeTrailers) {
            closeCount++;
            status = closeStatus;
            trailers = closeTrailers;
            closedAtMs = time.nowMs();
            onClose.run();
        }

        Status.Code code() {
            return status == null ? null : status.getCode();
        }
    }

    final VirtualTime time = new VirtualTime();
    final AttemptRuleChecker rules = new AttemptRuleChecker(200);
    final Map<String, Processor> processors = new LinkedHashMap<>();
    final Map<String, GrpcSessionServer> fronts = new LinkedHashMap<>();
    /** Endpoints that the resolver attaches to a server's address, as the event bus resolver does. */
    final Map<String, ServerEndpoint> endpoints = new LinkedHashMap<>();
    final List<Server> servers = new ArrayList<>();
    final List<ManagedChannel> channels = new ArrayList<>();
    final Pathlane pathlane;
    private final String scheme = "field" + HARNESS_COUNT.incrementAndGet();
    private final Map<NameResolver.Listener2, SynchronizationContext> listeners = new LinkedHashMap<>();
    private List<String> listedServers = List.of();
    private Map<String, ?> resolvedConfig;
    private final NameResolverProvider provider = new Provider();

    PluginHarness(String... names) {
        this(Pathlane.builder().configuration(SETTINGS), names);
    }

    PluginHarness(Pathlane.Builder builder, String... names) {
        NameResolverRegistry.getDefaultRegistry().register(provider);
        pathlane = builder.seed(7).time(context -> time).build();
        for (String name : names) {
            addServer(name);
        }
        listedServers = List.of(names);
    }

    /** Adds a stand-in server with a capacity of 30 calls per second. */
    Processor addServer(String name) {
        return addServer(name, 30);
    }

    Processor addServer(String name, double callsPerSecond) {
        Processor processor = new Processor(Processor.Model.of(callsPerSecond,
                PluginConfig.read(SETTINGS).settings().rules()), time);
        GrpcSessionServer front = new GrpcSessionServer(name, processor, time, Runnable::run, Duration.ofSeconds(8), rules);
        try {
            servers.add(InProcessServerBuilder.forName(scheme + name).directExecutor().addService(front.service())
                    .build().start());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        processors.put(name, processor);
        fronts.put(name, front);
        return processor;
    }

    /** Sets the servers that the resolver lists. */
    void setListedServers(String... names) {
        listedServers = List.of(names);
        Map.copyOf(listeners).forEach((listener, context) -> context.execute(() -> notifyListener(listener)));
    }

    private void notifyListener(NameResolver.Listener2 listener) {
        List<EquivalentAddressGroup> groups = new ArrayList<>();
        listedServers.forEach(name -> groups.add(new EquivalentAddressGroup(new InProcessSocketAddress(scheme + name),
                endpoints.containsKey(name)
                        ? Attributes.newBuilder().set(BusNameResolver.ENDPOINT, endpoints.get(name)).build()
                        : Attributes.EMPTY)));
        listener.onResult2(NameResolver.ResolutionResult.newBuilder().setAddressesOrError(StatusOr.fromValue(groups))
                .setAttributes(Attributes.EMPTY).build());
    }

    InProcessChannelBuilder builder(String target) {
        return InProcessChannelBuilder.forTarget(scheme + ":///" + target).directExecutor();
    }

    ManagedChannel channel() {
        return closeWithHarness(pathlane.attach(builder("pool")).build());
    }

    ManagedChannel closeWithHarness(ManagedChannel channel) {
        channels.add(channel);
        return channel;
    }

    /** Makes a call with a key by which the rule checks recognize all its tries. */
    Response call(ManagedChannel channel, MethodDescriptor<byte[], byte[]> method, CallOptions options, String key) {
        return call(channel, method, options, key, key);
    }

    Response call(ManagedChannel channel, MethodDescriptor<byte[], byte[]> method, CallOptions options, String key,
            String request) {
        Response response = new Response();
        ClientCall<byte[], byte[]> call = channel.newCall(method, options);
        response.call = call;
        Metadata headers = new Metadata();
        headers.put(GrpcSessionServer.CALL, key);
        call.start(response, headers);
        call.request(2);
        call.sendMessage(request.getBytes(StandardCharsets.UTF_8));
        call.halfClose();
        return response;
    }

    Response check(ManagedChannel channel, String key) {
        return call(channel, GrpcSessionServer.CHECK, CallOptions.DEFAULT, key);
    }

    Response sign(ManagedChannel channel, String key) {
        return call(channel, GrpcSessionServer.SIGN, CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS, "deadline-sign"),
                key);
    }

    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
        servers.forEach(Server::shutdownNow);
        pathlane.close();
        NameResolverRegistry.getDefaultRegistry().deregister(provider);
    }

    private final class Provider extends NameResolverProvider {

        @Override
        protected boolean isAvailable() {
            return true;
        }

        @Override
        protected int priority() {
            return 5;
        }

        @Override
        public String getDefaultScheme() {
            return scheme;
        }

        @Override
        public Collection<Class<? extends SocketAddress>> getProducedSocketAddressTypes() {
            return Set.of(InProcessSocketAddress.class);
        }

        @Override
        public NameResolver newNameResolver(URI target, NameResolver.Args args) {
            if (!target.getScheme().equals(scheme)) {
                return null;
            }
            return new NameResolver() {
                private Listener2 registered;

                @Override
                public String getServiceAuthority() {
                    return "field";
                }

                @Override
                public void start(Listener2 listener) {
                    registered = listener;
                    listeners.put(listener, args.getSynchronizationContext());
                    notifyListener(listener);
                }

                @Override
                public void shutdown() {
                    listeners.remove(registered);
                }
            };
        }
    }
}
