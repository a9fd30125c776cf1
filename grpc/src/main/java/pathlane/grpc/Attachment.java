package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.MethodDescriptor;
import io.grpc.NameResolver;
import java.util.HashMap;
import java.util.Map;

/** One channel that the plug-in is attached to: its interceptor and its load balancer's paths to the servers. */
final class Attachment implements ClientInterceptor {

    /** The resolver argument by which the channel's load balancer finds the plug-in. */
    static final NameResolver.Args.Key<Attachment> KEY = NameResolver.Args.Key.create("pathlane-attachment");

    final Engine engine;
    /** Used in the engine's synchronization context only. */
    private final Map<Long, ServerPath> paths = new HashMap<>();
    /** Whether the channel has a load balancer that has received a list of servers. */
    private volatile boolean hasServerList;

    /** Whether gRPC has requested a hedged stream on this channel. */
    private volatile boolean hedging;

    Attachment(Engine engine) {
        this.engine = engine;
    }

    @Override
    public <Q, R> ClientCall<Q, R> interceptCall(MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        return new PluginCall<>(this, method, options, next);
    }

    boolean hasServerList() {
        return hasServerList;
    }

    void setHasServerList(boolean value) {
        hasServerList = value;
    }

    boolean isHedging() {
        return hedging;
    }

    void recordHedging() {
        hedging = true;
    }

    void addPath(ServerPath path) {
        paths.put(path.server, path);
    }

    /** Removes a server's path, unless another path has replaced it. */
    void removePath(ServerPath path) {
        paths.remove(path.server, path);
    }

    /** Returns the path to a server, or null if this channel has none. */
    ServerPath path(long server) {
        return paths.get(server);
    }
}
