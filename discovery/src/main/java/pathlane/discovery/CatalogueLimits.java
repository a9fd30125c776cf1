package pathlane.discovery;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;

/**
 * What a service may consist of. A source that let more in would have every subscriber refuse its messages, over and over;
 * the largest service must fit a frame of {@link pathlane.group.SealedLink}, 4 MiB.
 */
public final class CatalogueLimits {

    /** Bytes of UTF-8 in a service's name. */
    public static final int LONGEST_NAME = 64;
    /** Characters of a service's configuration; up to three bytes each. */
    public static final int LONGEST_CONFIGURATION = 64 * 1024;
    /** Endpoints of a service, of at most 60 bytes each where their addresses are numbers. */
    public static final int MOST_ENDPOINTS = 65_536;

    private CatalogueLimits() {}

    /** {@code size} is the number of endpoints that the service has once this is done. */
    static void check(String service, int size, List<ServerEndpoint> upserted, Optional<String> configuration) {
        int nameBytes = service.getBytes(StandardCharsets.UTF_8).length;
        require(nameBytes > 0 && nameBytes <= LONGEST_NAME, "a service's name of " + nameBytes + " bytes");
        int length = configuration.map(String::length).orElse(0);
        require(length <= LONGEST_CONFIGURATION, "a configuration of " + length + " characters");
        require(size <= MOST_ENDPOINTS, size + " endpoints");
        upserted.forEach(CatalogueLimits::check);
    }

    private static void check(ServerEndpoint endpoint) {
        require(isValidWeight(endpoint.weight()), "a weight of " + endpoint.weight());
    }

    static boolean isValidWeight(double weight) {
        return Double.isFinite(weight) && weight >= 0;
    }

    private static void require(boolean isValid, String message) {
        if (!isValid) {
            throw new IllegalArgumentException(message);
        }
    }
}
