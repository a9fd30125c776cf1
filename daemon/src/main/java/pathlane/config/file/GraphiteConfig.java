package pathlane.config.file;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import pathlane.config.SettingsReader;
import pathlane.transport.Addresses;

/** Where and how often counters are reported to Graphite. */
public record GraphiteConfig(InetSocketAddress address, String prefix, Duration interval) {

    private static final long DEFAULT_INTERVAL_MS = 10_000;

    /** Reads the object {@code graphite} of a configuration, or returns null if there is none. */
    static GraphiteConfig read(JsonObject root) {
        if (!root.has("graphite")) {
            return null;
        }
        JsonObject graphite = SettingsReader.object(root, "graphite");
        return new GraphiteConfig(Addresses.parse(NodeConfig.text(graphite, "address")),
                NodeConfig.text(graphite, "prefix"), NodeConfig.interval(graphite, "graphite", DEFAULT_INTERVAL_MS));
    }
}
