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

/** What the files of several programs say of discovery: the services' cells, and how publishers are watched. */
public final class WatchTables {

    /** Keys of a file that {@link #watchTerms} reads. */
    public static final Set<String> WATCH_KEYS = Set.of("zone", "region", "publishers", "watch");

    private static final int LONGEST_NAME = 64;
    private static final int MOST_CELL = 0xffff;
    private static final Duration ONE_MILLI = Duration.ofMillis(1);
    private static final Duration MOST_TIME = Duration.ofMinutes(10);
    private static final Duration BACKOFF_FIRST = Duration.ofMillis(200);
    private static final Duration BACKOFF_MOST = Duration.ofSeconds(5);
    /** Three bookmarks: publishers say something each second. */
    private static final Duration SILENT_AFTER = Duration.ofSeconds(3);
    private static final Duration RETURN_WITHIN = Duration.ofSeconds(30);

    private WatchTables() {}

    /** A name of 1 to 64 bytes. */
    public static String name(TomlFile table, String key) {
        return checkedName(table, key, table.text(key));
    }

    private static String checkedName(TomlFile table, String key, String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
            throw table.error(key, "'" + name + "' is no name; right would be 1 to " + LONGEST_NAME + " bytes");
        }
        return name;
    }

    /** The table {@code services}: the cells of each service; no cell is in two. */
    public static Map<String, Set<Integer>> services(TomlFile toml) {
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

    /** The publishers that may be watched, and how. */
    public static WatchTerms watchTerms(TomlFile toml, String name) {
        TomlFile watch = toml.table("watch");
        watch.onlyKeys(Set.of("backoff-first-ms", "backoff-most-ms", "silent-after-ms", "return-within-ms"));
        List<PublisherAddress> publishers = toml.tables("publishers").stream().map(WatchTables::publisher).toList();
        if (publishers.isEmpty()) {
            throw toml.error("publishers", "no publisher is there; right would be a table [[publishers]] with 'name' "
                    + "and 'address' for each");
        }
        if (publishers.stream().map(PublisherAddress::name).distinct().count() < publishers.size()) {
            throw toml.error("publishers", "two publishers have one name");
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

    /**
     * Reads a file of keys.
     *
     * @throws IllegalArgumentException with a sentence that names the file, never a key
     */
    public static KeyRing keys(Path file) {
        try {
            return KeyRing.read(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the keys' file " + file + " can't be read", e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }
}
