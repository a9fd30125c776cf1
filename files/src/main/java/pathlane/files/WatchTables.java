package pathlane.files;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.WatchTerms;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.group.KeyRing;

/** The discovery tables that the files of several programs share: the cells of each service, and the watch settings. */
public final class WatchTables {

    /** The top-level keys that {@link #watchTerms} reads. */
    public static final Set<String> WATCH_KEYS = Set.of("zone", "region", "publishers", "watch");

    private static final int MAX_NAME_BYTES = 64;
    private static final int MAX_CELL = 0xffff;
    private static final Duration MIN_BACKOFF = Duration.ofMillis(1);
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);
    private static final Duration DEFAULT_INITIAL_BACKOFF = Duration.ofMillis(200);
    private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofSeconds(5);
    /** Three missed bookmarks: publishers send at least one message a second. */
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DEFAULT_RETURN_INTERVAL = Duration.ofSeconds(30);

    private WatchTables() {}

    /** Reads a name of 1 to 64 bytes. */
    public static String name(TomlFile table, String key) {
        return checkedName(table, key, table.text(key));
    }

    private static String checkedName(TomlFile table, String key, String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES) {
            throw table.error(key, "'" + name + "' is not a valid name; expected 1 to " + MAX_NAME_BYTES + " bytes");
        }
        return name;
    }

    /** Reads the table {@code services}: the cells of each service. No cell belongs to two services. */
    public static Map<String, Set<Integer>> services(TomlFile toml) {
        TomlFile table = toml.table("services");
        if (table.keys().isEmpty()) {
            throw toml.error("services", "'services' is missing or empty; expected one entry per service, "
                    + "NAME = [CELL, ...]");
        }
        Map<Integer, String> owners = new HashMap<>();
        Map<String, Set<Integer>> services = new TreeMap<>();
        for (String service : table.keys()) {
            checkedName(table, service, service);
            Set<Integer> cells = new HashSet<>();
            for (long cell : table.integers(service, 0, MAX_CELL)) {
                String owner = owners.putIfAbsent((int) cell, service);
                if (owner != null && !owner.equals(service)) {
                    throw table.error(service, "cell " + cell + " is in '" + owner + "' and in '" + service
                            + "'; a cell belongs to one service");
                }
                cells.add((int) cell);
            }
            services.put(service, Set.copyOf(cells));
        }
        return services;
    }

    /** Reads the publishers that may be watched, and the watch settings. */
    public static WatchTerms watchTerms(TomlFile toml, String name) {
        TomlFile watch = toml.table("watch");
        watch.requireKnownKeys(Set.of("backoff-first-ms", "backoff-most-ms", "silent-after-ms", "return-within-ms"));
        List<PublisherAddress> publishers = toml.tables("publishers").stream().map(WatchTables::publisher).toList();
        if (publishers.isEmpty()) {
            throw toml.error("publishers", "no publisher is there; expected a table [[publishers]] with 'name' "
                    + "and 'address' for each");
        }
        if (publishers.stream().map(PublisherAddress::name).distinct().count() < publishers.size()) {
            throw toml.error("publishers", "two publishers have one name");
        }
        Duration initialBackoff = watch.millis("backoff-first-ms", DEFAULT_INITIAL_BACKOFF, MIN_BACKOFF, MAX_DURATION);
        return new WatchTerms(name, toml.text("zone", ""), toml.text("region", ""), publishers, initialBackoff,
                watch.millis("backoff-most-ms",
                        initialBackoff.compareTo(DEFAULT_MAX_BACKOFF) > 0 ? initialBackoff : DEFAULT_MAX_BACKOFF,
                        initialBackoff,
                        MAX_DURATION),
                watch.millis("silent-after-ms", DEFAULT_SILENCE_TIMEOUT,
                        PublisherTerms.DEFAULTS.bookmarkInterval().multipliedBy(2),
                        MAX_DURATION),
                watch.millis("return-within-ms", DEFAULT_RETURN_INTERVAL, Duration.ZERO, MAX_DURATION));
    }

    private static PublisherAddress publisher(TomlFile table) {
        table.requireKnownKeys(Set.of("name", "address", "zone", "region"));
        return new PublisherAddress(name(table, "name"), table.address("address"), table.text("zone", ""),
                table.text("region", ""));
    }

    /**
     * Reads a file of authentication keys.
     *
     * @throws IllegalArgumentException with a message that names the file and never contains a key
     */
    public static KeyRing keys(Path file) {
        try {
            return KeyRing.read(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the key file " + file + " cannot be read", e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }
}
