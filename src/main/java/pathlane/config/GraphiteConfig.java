package pathlane.config;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Where and how often counters are told to Graphite. */
public record GraphiteConfig(InetSocketAddress address, String prefix, Duration interval) {

    private static final long INTERVAL_MS = 10_000;

    /** Reads the object {@code graphite} of a configuration, or gives null where there is none. */
    static GraphiteConfig read(JsonObject root) {
        if (!root.has("graphite")) {
            return null;
        }
        JsonObject graphite = SettingsReader.object(root, "graphite");
        Duration interval = Duration.ofMillis(graphite.has("interval-ms") ? graphite.get("interval-ms").getAsLong()
                : INTERVAL_MS);
        if (interval.compareTo(Duration.ZERO) <= 0) {
            throw new IllegalArgumentException("graphite's interval-ms is not above nought");
        }
        return new GraphiteConfig(NodeConfig.address(NodeConfig.text(graphite, "address")),
                NodeConfig.text(graphite, "prefix"), interval);
    }
}
