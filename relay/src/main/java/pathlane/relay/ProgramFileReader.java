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

/** Reads the file of a source or a relay; the limits of each figure are here. */
final class ProgramFileReader {

    private static final Set<String> SHARED_KEYS = Set.of("role", "name", "listen", "keys", "limits");
    private static final Set<String> SOURCE_KEYS = Set.of("epoch-file", "bus", "services", "configuration", "catalogue");
    private static final int MOST_SUBSCRIBERS = 100_000;
    private static final int LEAST_BYTES = 4 * 1024;
    private static final int MOST_BYTES = 64 << 20;
    private static final Duration MOST_TIME = Duration.ofMinutes(10);

    private final TomlFile toml;

    ProgramFileReader(TomlFile toml) {
        this.toml = toml;
    }

    ProgramFile read() {
        boolean isSource = toml.choice("role", Map.of("source", true, "relay", false));
        Set<String> known = new HashSet<>(SHARED_KEYS);
        known.addAll(isSource ? SOURCE_KEYS : WatchTables.WATCH_KEYS);
        toml.onlyKeys(known);
        Common common = new Common(WatchTables.name(toml, "name"), toml.address("listen"), toml.beside(toml.text("keys")),
                terms(toml.table("limits")));
        return isSource ? new SourceFile(common, toml.beside(toml.text("epoch-file")), origin())
                : new RelayFile(common, WatchTables.watchTerms(toml, common.name()));
    }

    private static PublisherTerms terms(TomlFile limits) {
        limits.onlyKeys(Set.of("subscribers", "watches-per-second", "watch-burst", "unacknowledged-bytes",
                "update-bytes", "history-changes", "bookmark-ms", "dead-after-ms"));
        PublisherTerms usual = PublisherTerms.USUAL;
        return new PublisherTerms((int) limits.whole("subscribers", usual.subscribers(), 1, MOST_SUBSCRIBERS),
                limits.number("watches-per-second", usual.watchesPerSecond(), 1, MOST_SUBSCRIBERS),
                (int) limits.whole("watch-burst", usual.watchBurst(), 1, MOST_SUBSCRIBERS),
                (int) limits.whole("unacknowledged-bytes", usual.unacknowledgedBytes(), LEAST_BYTES, MOST_BYTES),
                (int) limits.whole("update-bytes", usual.updateBytes(), LEAST_BYTES, MOST_BYTES),
                (int) limits.whole("history-changes", usual.historyChanges(), 0, MOST_BYTES),
                limits.millis("bookmark-ms", usual.bookmarkEvery(), Duration.ofMillis(10), usual.bookmarkEvery()),
                limits.millis("dead-after-ms", usual.deadAfter(), Duration.ofSeconds(1), MOST_TIME));
    }

    // ---- source

    private Origin origin() {
        if (toml.has("bus") == toml.has("catalogue")) {
            throw toml.error("catalogue", toml.has("bus") ? "both 'bus' and 'catalogue' are there; a source has one"
                    : "neither 'bus' nor 'catalogue' is there; a source has one of them");
        }
        if (toml.has("catalogue")) {
            for (String key : List.of("services", "configuration")) {
                if (toml.has(key)) {
                    throw toml.error(key, "'" + key + "' belongs to a source with a 'bus'; the catalogue's file has "
                            + "its own services");
                }
            }
            return new CatalogueOrigin(toml.beside(toml.text("catalogue")));
        }
        Map<String, Set<Integer>> services = WatchTables.services(toml);
        return new BusOrigin(toml.address("bus"), services, configurations(services.keySet()));
    }

    private Map<String, ConfigurationText> configurations(Set<String> services) {
        TomlFile table = toml.table("configuration");
        Map<String, ConfigurationText> configurations = new TreeMap<>();
        for (String service : table.keys()) {
            if (!services.contains(service)) {
                throw table.error(service, "'configuration' names '" + service + "', which is no service");
            }
            if (table.isTable(service)) {
                TomlFile inner = table.table(service);
                inner.onlyKeys(Set.of("file"));
                Path file = toml.beside(inner.text("file"));
                if (!Files.isReadable(file)) {
                    throw inner.error("file", "the configuration's file " + file + " can't be read");
                }
                configurations.put(service, new ConfigurationText(Optional.of(file), ""));
            } else {
                configurations.put(service, new ConfigurationText(Optional.empty(), table.text(service)));
            }
        }
        return configurations;
    }
}
