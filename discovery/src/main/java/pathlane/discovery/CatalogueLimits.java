package pathlane.discovery;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;

/**
 * Limits of a service's content. Without them, every subscriber would reject the messages of a source over and over. The
 * largest service must fit a frame of {@link pathlane.group.SealedLink}, 4 MiB.
 */
public final class CatalogueLimits {

    /** Maximum bytes of UTF-8 in a service's name. */
    public static final int MAX_NAME_BYTES = 64;
    /** Maximum characters of a service's configuration, of up to three bytes each. */
    public static final int MAX_CONFIGURATION_LENGTH = 64 * 1024;
    /** Maximum endpoints of a service, of up to 60 bytes each if their addresses are numeric. */
    public static final int MAX_ENDPOINTS = 65_536;

    private CatalogueLimits() {}

    /** Checks a change before it is applied; {@code size} is the number of endpoints after it. */
    static void check(String service, int size, List<ServerEndpoint> upserted, Optional<String> configuration) {
        int nameBytes = service.getBytes(StandardCharsets.UTF_8).length;
        require(nameBytes > 0 && nameBytes <= MAX_NAME_BYTES, "invalid service name of " + nameBytes + " bytes");
        int length = configuration.map(String::length).orElse(0);
        require(length <= MAX_CONFIGURATION_LENGTH, "invalid configuration of " + length + " characters");
        require(size <= MAX_ENDPOINTS, size + " endpoints");
        upserted.forEach(CatalogueLimits::check);
    }

    private static void check(ServerEndpoint endpoint) {
        require(isValidWeight(endpoint.weight()), "invalid weight " + endpoint.weight());
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
