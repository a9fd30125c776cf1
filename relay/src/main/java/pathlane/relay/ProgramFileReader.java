package pathlane.relay;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.WatchTerms;
import pathlane.discovery.WatchTerms.PublisherAddress;
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
    private static final Set<String> RELAY_KEYS = Set.of("zone", "region", "publishers", "watch");
    private static final int LONGEST_NAME = 64;
    private static final int MOST_CELL = 0xffff;
    private static final int MOST_SUBSCRIBERS = 100_000;
    private static final int LEAST_BYTES = 4 * 1024;
    private static final int MOST_BYTES = 64 << 20;
    private static final Duration ONE_MILLI = Duration.ofMillis(1);
    private static final Duration MOST_TIME = Duration.ofMinutes(10);
    private static final Duration BACKOFF_FIRST = Duration.ofMillis(200);
    private static final Duration BACKOFF_MOST = Duration.ofSeconds(5);
    /** Three bookmarks: publishers say something each second. */
    private static final Duration SILENT_AFTER = Duration.ofSeconds(3);
    private static final Duration RETURN_WITHIN = Duration.ofSeconds(30);

    private final TomlFile toml;

    ProgramFileReader(TomlFile toml) {
        this.toml = toml;
    }

    ProgramFile read() {
        boolean isSource = toml.choice("role", Map.of("source", true, "relay", false));
        Set<String> known = new HashSet<>(SHARED_KEYS);
        known.addAll(isSource ? SOURCE_KEYS : RELAY_KEYS);
        toml.onlyKeys(known);
        Common common = new Common(name(toml, "name"), toml.address("listen"), toml.beside(toml.text("keys")),
                terms(toml.table("limits")));
        return isSource ? new SourceFile(common, toml.beside(toml.text("epoch-file")), origin())
                : new RelayFile(common, watchTerms(common.name()));
    }

    private static String name(TomlFile table, String key) {
        return checkedName(table, key, table.text(key));
    }

    private static String checkedName(TomlFile table, String key, String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
            throw table.error(key, "'" + name + "' is no name; right would be 1 to " + LONGEST_NAME + " bytes");
        }
        return name;
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
        Map<String, Set<Integer>> services = services();
        return new BusOrigin(toml.address("bus"), services, configurations(services.keySet()));
    }

    private Map<String, Set<Integer>> services() {
        TomlFile table = toml.table("services");
        if (table.keys().isEmpty()) {
            throw toml.error("services", "'services' is missing or empty; right would be a line for each service, "
                    + "NAME = [CELL, ...]");
        }
        Map<Integer, String> owners = new HashMap<>();
        Map<String, Set<Integer>> services = new TreeMap<>();
        for (String service : table.keys()) {
            checkedName(table, service, service);
            Set<Integer> cells = new HashSet<>();
            for (long cell : table.wholes(service, 0, MOST_CELL)) {
                String owner = owners.putIfAbsent((int) cell, service);
                if (owner != null && !owner.equals(service)) {
                    throw table.error(service, "cell " + cell + " is in '" + owner + "' and in '" + service
                            + "'; a cell has one service");
                }
                cells.add((int) cell);
            }
            services.put(service, Set.copyOf(cells));
        }
        return services;
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

    // ---- relay

    private WatchTerms watchTerms(String name) {
        TomlFile watch = toml.table("watch");
        watch.onlyKeys(Set.of("backoff-first-ms", "backoff-most-ms", "silent-after-ms", "return-within-ms"));
        List<PublisherAddress> publishers = toml.tables("publishers").stream().map(ProgramFileReader::publisher).toList();
        if (publishers.isEmpty()) {
            throw toml.error("publishers", "no publisher is there; right would be a table [[publishers]] with 'name' "
                    + "and 'address' for each");
        }
        Duration first = watch.millis("backoff-first-ms", BACKOFF_FIRST, ONE_MILLI, MOST_TIME);
        return new WatchTerms(name, toml.text("zone", ""), toml.text("region", ""), publishers, first,
                watch.millis("backoff-most-ms", first.compareTo(BACKOFF_MOST) > 0 ? first : BACKOFF_MOST, first,
                        MOST_TIME),
                watch.millis("silent-after-ms", SILENT_AFTER, PublisherTerms.USUAL.bookmarkEvery().multipliedBy(2),
                        MOST_TIME),
                watch.millis("return-within-ms", RETURN_WITHIN, Duration.ZERO, MOST_TIME));
    }

    private static PublisherAddress publisher(TomlFile table) {
        table.onlyKeys(Set.of("name", "address", "zone", "region"));
        return new PublisherAddress(name(table, "name"), table.address("address"), table.text("zone", ""),
                table.text("region", ""));
    }
}
