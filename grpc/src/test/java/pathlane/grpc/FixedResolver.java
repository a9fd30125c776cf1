package pathlane.grpc;

import io.grpc.EquivalentAddressGroup;
import io.grpc.NameResolver;
import io.grpc.NameResolverProvider;
import io.grpc.StatusOr;
import java.net.URI;
import java.util.List;

/** A resolver with a fixed list of addresses for targets of the given scheme. */
final class FixedResolver extends NameResolverProvider {

    private final String scheme;
    private final List<EquivalentAddressGroup> groups;

    FixedResolver(String scheme, List<EquivalentAddressGroup> groups) {
        this.scheme = scheme;
        this.groups = groups;
    }

    @Override
    protected boolean isAvailable() {
        return true;
    }

    @Override
    protected int priority() {
        return 1;
    }

    @Override
    public String getDefaultScheme() {
        return scheme;
    }

    @Override
    public NameResolver newNameResolver(URI target, NameResolver.Args args) {
        return !scheme.equals(target.getScheme()) ? null : new NameResolver() {
            @Override
            public String getServiceAuthority() {
                return scheme;
            }

            @Override
            public void start(Listener2 listener) {
                listener.onResult2(ResolutionResult.newBuilder()
                        .setAddressesOrError(StatusOr.fromValue(groups)).build());
            }

            @Override
            public void shutdown() {}
        };
    }
}
