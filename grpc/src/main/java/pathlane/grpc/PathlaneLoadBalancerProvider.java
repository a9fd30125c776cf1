package pathlane.grpc;

import io.grpc.LoadBalancer;
import io.grpc.LoadBalancerProvider;
import io.grpc.NameResolver.ConfigOrError;
import io.grpc.Status;
import java.util.Map;

/** Found by gRPC itself: the policy {@code pathlane}, for {@code loadBalancingConfig} in a service config. */
public final class PathlaneLoadBalancerProvider extends LoadBalancerProvider {

    /** The policy's name in service configs. */
    public static final String POLICY = "pathlane";

    @Override
    public boolean isAvailable() {
        return true;
    }

    @Override
    public int getPriority() {
        return 5;
    }

    @Override
    public String getPolicyName() {
        return POLICY;
    }

    @Override
    public LoadBalancer newLoadBalancer(LoadBalancer.Helper helper) {
        return new PathlaneLoadBalancer(helper);
    }

    /** An empty object leaves the settings to the builder; any other holds them all. */
    @Override
    public ConfigOrError parseLoadBalancingPolicyConfig(Map<String, ?> raw) {
        if (raw.isEmpty()) {
            return ConfigOrError.fromConfig(NoConfig.NONE);
        }
        try {
            return ConfigOrError.fromConfig(PluginConfig.read(raw));
        } catch (IllegalArgumentException e) {
            return ConfigOrError.fromError(Status.UNAVAILABLE
                    .withDescription("the config of the policy 'pathlane' can't be used: " + e.getMessage())
                    .withCause(e));
        }
    }

    /** A config that says nothing. */
    enum NoConfig { NONE }
}
