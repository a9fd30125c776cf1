package pathlane.grpc;

import io.grpc.NameResolver;
import io.grpc.NameResolverProvider;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Collection;
import java.util.Set;

/** Found by gRPC itself: targets such as {@code pathlane-bus:///10.2.0.1:9092} name the event bus to follow. */
public final class BusNameResolverProvider extends NameResolverProvider {

    static final String SCHEME = "pathlane-bus";

    @Override
    protected boolean isAvailable() {
        return true;
    }

    /** Below that of DNS: the first among equals would take every target that names no scheme. */
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
        String place = target.getPath() == null ? "" : target.getPath().replaceFirst("^/", "");
        int colon = place.lastIndexOf(':');
        try {
            int port = Integer.parseInt(place.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= 65_535) {
                return new BusNameResolver(new InetSocketAddress(place.substring(0, colon), port), args);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IllegalArgumentException("target '" + target + "' names no event bus: " + SCHEME
                + ":///HOST:PORT is wanted");
    }
}
