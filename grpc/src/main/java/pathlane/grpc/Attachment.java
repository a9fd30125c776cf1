package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.MethodDescriptor;
import io.grpc.NameResolver;
import java.util.HashMap;
import java.util.Map;

/** One channel that the plug-in serves: its interceptor, and the paths that its load balancer has. */
final class Attachment implements ClientInterceptor {

    /** By this the channel's load balancer finds the plug-in. */
    static final NameResolver.Args.Key<Attachment> KEY = NameResolver.Args.Key.create("pathlane-attachment");

    final Engine engine;
    /** In the plug-in's turn only. */
    private final Map<Long, ServerPath> paths = new HashMap<>();
    /** Whether the channel has a load balancer that was told its servers. */
    private volatile boolean listed;

    /** gRPC has asked for a hedged stream on this channel. */
    private volatile boolean hedges;

    Attachment(Engine engine) {
        this.engine = engine;
    }

    @Override
    public <Q, R> ClientCall<Q, R> interceptCall(MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        return new PluginCall<>(this, method, options, next);
    }

    boolean isListed() {
        return listed;
    }

    void listed(boolean now) {
        listed = now;
    }

    boolean hedges() {
        return hedges;
    }

    void seenHedging() {
        hedges = true;
    }

    void put(ServerPath path) {
        paths.put(path.server, path);
    }

    /** A server's path is no more; another that has taken its place stays. */
    void remove(ServerPath path) {
        paths.remove(path.server, path);
    }

    /** The path to a server, or null where this channel has none. */
    ServerPath path(long server) {
        return paths.get(server);
    }
}
