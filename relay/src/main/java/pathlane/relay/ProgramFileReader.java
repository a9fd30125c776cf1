package pathlane.relay;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import pathlane.discovery.PublisherTerms;
import pathlane.files.TomlFile;
import pathlane.files.WatchTables;
import pathlane.relay.ProgramFile.BusOrigin;
import pathlane.relay.ProgramFile.CatalogueOrigin;
import pathlane.relay.ProgramFile.Common;
import pathlane.relay.ProgramFile.ConfigurationText;
import pathlane.relay.ProgramFile.Origin;
import pathlane.relay.ProgramFile.RelayFile;
import pathlane.relay.ProgramFile.SourceFile;

/** Reads the configuration file of a source or a relay and checks the bounds of each value. */
final class ProgramFileReader {

    private static final Set<String> SHARED_KEYS = Set.of("role", "name", "listen", "keys", "limits");
    private static final Set<String> SOURCE_KEYS = Set.of("epoch-file", "bus", "services", "configuration", "catalogue");
    private static final int MAX_SUBSCRIBERS = 100_000;
    private static final int MIN_BYTES = 4 * 1024;
    private static final int MAX_BYTES = 64 << 20;
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);

    private final TomlFile toml;

    ProgramFileReader(TomlFile toml) {
        this.toml = toml;
    }

    ProgramFile read() {
        boolean isSource = toml.choice("role", Map.of("source", true, "relay", false));
        Set<String> knownKeys = new HashSet<>(SHARED_KEYS);
        knownKeys.addAll(isSource ? SOURCE_KEYS : WatchTables.WATCH_KEYS);
        toml.requireKnownKeys(knownKeys);
        Common common =
                new Common(WatchTables.name(toml, "name"), toml.address("listen"), toml.resolveSibling(toml.text("keys")),
                        terms(toml.table("limits")));
        return isSource ? new SourceFile(common, toml.resolveSibling(toml.text("epoch-file")), origin())
                : new RelayFile(common, WatchTables.watchTerms(toml, common.name()));
    }

    private static PublisherTerms terms(TomlFile limits) {
        limits.requireKnownKeys(Set.of("subscribers", "watches-per-second", "watch-burst", "unacknowledged-bytes",
                "update-bytes", "history-changes", "bookmark-ms", "dead-after-ms"));
        PublisherTerms defaults = PublisherTerms.DEFAULTS;
        return new PublisherTerms((int) limits.integer("subscribers", defaults.subscribers(), 1, MAX_SUBSCRIBERS),
                limits.number("watches-per-second", defaults.watchesPerSecond(), 1, MAX_SUBSCRIBERS),
                (int) limits.integer("watch-burst", defaults.watchBurst(), 1, MAX_SUBSCRIBERS),
                (int) limits.integer("unacknowledged-bytes", defaults.unacknowledgedBytes(), MIN_BYTES, MAX_BYTES),
                (int) limits.integer("update-bytes", defaults.updateBytes(), MIN_BYTES, MAX_BYTES),
                (int) limits.integer("history-changes", defaults.historyChanges(), 0, MAX_BYTES),
                limits.millis("bookmark-ms", defaults.bookmarkInterval(), Duration.ofMillis(10),
                        defaults.bookmarkInterval()),
                limits.millis("dead-after-ms", defaults.acknowledgeTimeout(), Duration.ofSeconds(1), MAX_DURATION));
    }

    // ---- source

    private Origin origin() {
        if (toml.has("bus") == toml.has("catalogue")) {
            throw toml.error("catalogue", toml.has("bus") ? "both 'bus' and 'catalogue' are given; a source has one"
                    : "neither 'bus' nor 'catalogue' is given; a source has one of them");
        }
        if (toml.has("catalogue")) {
            for (String key : List.of("services", "configuration")) {
                if (toml.has(key)) {
                    throw toml.error(key, "'" + key + "' belongs to a source with a 'bus'; the catalogue file has "
                            + "its own services");
                }
            }
            return new CatalogueOrigin(toml.resolveSibling(toml.text("catalogue")));
        }
        Map<String, Set<Integer>> services = WatchTables.services(toml);
        return new BusOrigin(toml.address("bus"), services, configurations(services.keySet()));
    }

    private Map<String, ConfigurationText> configurations(Set<String> services) {
        TomlFile table = toml.table("configuration");
        Map<String, ConfigurationText> configurations = new TreeMap<>();
        for (String service : table.keys()) {
            if (!services.contains(service)) {
                throw table.error(service, "'configuration' names '" + service + "', which is not a service");
            }
            if (table.isTable(service)) {
                TomlFile inner = table.table(service);
                inner.requireKnownKeys(Set.of("file"));
                Path file = toml.resolveSibling(inner.text("file"));
                if (!Files.isReadable(file)) {
                    throw inner.error("file", "the configuration file " + file + " cannot be read");
                }
                configurations.put(service, new ConfigurationText(Optional.of(file), ""));
            } else {
                configurations.put(service, new ConfigurationText(Optional.empty(), table.text(service)));
            }
        }
        return configurations;
    }
}
