package pathlane.config.file;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import pathlane.config.SettingsReader;
import pathlane.transport.Addresses;

/** Where and how often counters are reported to collectd. */
public record CollectdConfig(InetSocketAddress address, Duration interval) {

    private static final long DEFAULT_INTERVAL_MS = 10_000;

    /** Reads the object {@code collectd} of a configuration, or returns null if there is none. */
    static CollectdConfig read(JsonObject root) {
        if (!root.has("collectd")) {
            return null;
        }
        JsonObject collectd = SettingsReader.object(root, "collectd");
        return new CollectdConfig(Addresses.parse(NodeConfig.text(collectd, "address")),
                NodeConfig.interval(collectd, "collectd", DEFAULT_INTERVAL_MS));
    }
}
