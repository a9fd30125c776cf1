package pathlane.grpc;

import io.grpc.NameResolver;
import io.grpc.NameResolverProvider;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Collection;
import java.util.Set;

/** Resolves targets that name an event bus, such as {@code pathlane-bus:///10.2.0.1:9092}. gRPC loads it as a service. */
public final class BusNameResolverProvider extends NameResolverProvider {

    static final String SCHEME = "pathlane-bus";

    @Override
    protected boolean isAvailable() {
        return true;
    }

    /** Lower than that of DNS: the resolver with the highest priority handles all targets without a scheme. */
    @Override
    protected int priority() {
        return 1;
    }

    @Override
    public String getDefaultScheme() {
        return SCHEME;
    }

    @Override
    public Collection<Class<? extends SocketAddress>> getProducedSocketAddressTypes() {
        return Set.of(InetSocketAddress.class);
    }

    @Override
    public NameResolver newNameResolver(URI target, NameResolver.Args args) {
        if (!SCHEME.equals(target.getScheme())) {
            return null;
        }
        String hostAndPort = target.getPath() == null ? "" : target.getPath().replaceFirst("^/", "");
        int colon = hostAndPort.lastIndexOf(':');
        try {
            int port = Integer.parseInt(hostAndPort.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= 65_535) {
                return new BusNameResolver(new InetSocketAddress(hostAndPort.substring(0, colon), port), args);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new IllegalArgumentException("target '" + target + "' names no event bus; expected " + SCHEME
                + ":///HOST:PORT");
    }
}
