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
 * What a real call controller finds in RELAY_CONFIG.
 *
 * @param seed for random numbers; new with each start
 * @param bus the event bus, or null where there is none
 * @param descriptors how the descriptors in {@code limits} are shared out
 * @param callers what callers may take up
 * @param knownOffset the number of the last event in {@code knownEvents}
 */
public record NodeConfig(String name, InetSocketAddress listen, long seed, InetSocketAddress bus,
        Descriptors descriptors, CallerLimits callers, long knownOffset, JsonArray knownEvents, Settings settings) {

    private static final int HEX = 16;
    /** A process that has just begun to serve takes up some 40. */
    private static final int LEAST_MEMORY_MB = 64;

    /** What is wrong with a file, in one line: a parser's message may go on with a second one. */
    static IllegalArgumentException unusable(Path file, RuntimeException why) {
        String first = String.valueOf(why.getMessage()).lines().findFirst().orElse("");
        return new IllegalArgumentException("the configuration " + file + " can't be used: " + first, why);
    }

    public static NodeConfig parse(String text) {
        JsonObject root = JsonParser.parseString(text).getAsJsonObject();
        JsonObject known = SettingsReader.object(root, "known");
        Descriptors descriptors = descriptors(root);
        return new NodeConfig(text(root, "name"), Addresses.parse(text(root, "listen")),
                Long.parseUnsignedLong(text(root, "seed"), HEX),
                root.has("bus") ? Addresses.parse(text(root, "bus")) : null, descriptors,
                CallerLimits.of(descriptors.callers()),
                known.has("offset") ? known.get("offset").getAsLong() : 0, SettingsReader.array(known, "batch"),
                SettingsReader.read(SettingsReader.object(root, "settings")));
    }

    /** The parts of the descriptors, from the object {@code limits} where there is one. */
    static Descriptors descriptors(JsonObject root) {
        JsonObject limits = SettingsReader.object(root, "limits");
        if (limits.has("memory_mb") && limits.get("memory_mb").getAsDouble() < LEAST_MEMORY_MB) {
            throw new IllegalArgumentException("limits.memory_mb is too small to serve with: "
                    + limits.get("memory_mb").getAsString() + ", at least " + LEAST_MEMORY_MB + " are needed");
        }
        return limits.has("sockets") ? Descriptors.within(limits.get("sockets").getAsInt()) : Descriptors.usual();
    }

    static String text(JsonObject from, String key) {
        if (!from.has(key)) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return from.get(key).getAsString();
    }

    /** Reads {@code interval-ms} of the named object. */
    static Duration interval(JsonObject from, String name, long usualMs) {
        Duration interval = Duration.ofMillis(from.has("interval-ms") ? from.get("interval-ms").getAsLong() : usualMs);
        if (interval.compareTo(Duration.ZERO) <= 0) {
            throw new IllegalArgumentException(name + "'s interval-ms is not above nought");
        }
        return interval;
    }
}
