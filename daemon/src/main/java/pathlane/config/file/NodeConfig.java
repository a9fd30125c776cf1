package pathlane.config.file;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;
import pathlane.transport.Addresses;

/**
 * Configuration of a call controller on the platform, from the file that RELAY_CONFIG names.
 *
 * @param seed for random numbers; differs for each start
 * @param busAddress the event bus, or null where there is none
 * @param descriptors how the file descriptors in {@code limits} are divided
 * @param clientLimits limits for clients
 * @param knownOffset the number of the last event in {@code knownEvents}
 */
public record NodeConfig(String name, InetSocketAddress listen, long seed, InetSocketAddress busAddress,
        Descriptors descriptors, ClientLimits clientLimits, long knownOffset, JsonArray knownEvents, Settings settings) {

    private static final int HEX_RADIX = 16;
    /** A process that has just begun to serve uses about 40. */
    private static final int MIN_MEMORY_MB = 64;

    /** An error for an invalid file, in one line: a parser's message may have several. */
    static IllegalArgumentException invalidFile(Path file, RuntimeException cause) {
        String firstLine = String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
        return new IllegalArgumentException("the configuration " + file + " is invalid: " + firstLine, cause);
    }

    public static NodeConfig parse(String text) {
        JsonObject root = JsonParser.parseString(text).getAsJsonObject();
        JsonObject known = SettingsReader.object(root, "known");
        Descriptors descriptors = descriptors(root);
        return new NodeConfig(text(root, "name"), Addresses.parse(text(root, "listen")),
                Long.parseUnsignedLong(text(root, "seed"), HEX_RADIX),
                root.has("bus") ? Addresses.parse(text(root, "bus")) : null, descriptors,
                ClientLimits.of(descriptors.clients()),
                known.has("offset") ? known.get("offset").getAsLong() : 0, SettingsReader.array(known, "batch"),
                SettingsReader.read(SettingsReader.object(root, "settings")));
    }

    /** The division of the file descriptors, from the object {@code limits} if there is one. */
    static Descriptors descriptors(JsonObject root) {
        JsonObject limits = SettingsReader.object(root, "limits");
        if (limits.has("memory_mb") && limits.get("memory_mb").getAsDouble() < MIN_MEMORY_MB) {
            throw new IllegalArgumentException("limits.memory_mb is too small to serve with: "
                    + limits.get("memory_mb").getAsString() + ", at least " + MIN_MEMORY_MB + " are needed");
        }
        return limits.has("sockets") ? Descriptors.forLimit(limits.get("sockets").getAsInt())
                : Descriptors.forDefaultLimit();
    }

    static String text(JsonObject from, String key) {
        if (!from.has(key)) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return from.get(key).getAsString();
    }

    /** Reads {@code interval-ms} of the named object. */
    static Duration interval(JsonObject from, String name, long defaultMs) {
        Duration interval = Duration.ofMillis(from.has("interval-ms") ? from.get("interval-ms").getAsLong() : defaultMs);
        if (interval.compareTo(Duration.ZERO) <= 0) {
            throw new IllegalArgumentException(name + "'s interval-ms must be positive");
        }
        return interval;
    }
}
