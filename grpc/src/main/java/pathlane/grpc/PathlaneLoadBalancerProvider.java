package pathlane.grpc;

import io.grpc.LoadBalancer;
import io.grpc.LoadBalancerProvider;
import io.grpc.NameResolver.ConfigOrError;
import io.grpc.Status;
import java.util.Map;

/** Provides the policy {@code pathlane} for {@code loadBalancingConfig} in a service config. gRPC loads it as a service. */
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

    /** Parses the policy's config. An empty object leaves the settings to the builder; any other must be complete. */
    @Override
    public ConfigOrError parseLoadBalancingPolicyConfig(Map<String, ?> raw) {
        if (raw.isEmpty()) {
            return ConfigOrError.fromConfig(NoConfig.NONE);
        }
        try {
            return ConfigOrError.fromConfig(PluginConfig.read(raw));
        } catch (IllegalArgumentException e) {
            return ConfigOrError.fromError(Status.UNAVAILABLE
                    .withDescription("invalid config for the policy 'pathlane': " + e.getMessage())
                    .withCause(e));
        }
    }

    /** The result of parsing an empty config. */
    enum NoConfig { NONE }
}
