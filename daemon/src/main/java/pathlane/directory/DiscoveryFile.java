package pathlane.directory;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.discovery.WatchTerms;
import pathlane.files.TomlFile;
import pathlane.files.WatchTables;
import pathlane.group.KeyRing;

/**
 * The operator's file by which a controller hears of its calls' services from relays, in TOML.
 *
 * @param watch the controller's name, its place, and the publishers that it may use
 * @param keys the file of the keys that sign each frame
 * @param serviceByCell the service of each cell that set-ups name
 * @param defaultService the service of set-ups that name no cell; empty where they fail
 */
public record DiscoveryFile(WatchTerms watch, Path keys, Map<Integer, String> serviceByCell,
        Optional<String> defaultService) {

    private static final String NAME = "name";
    private static final String KEYS = "keys";
    private static final String SERVICES = "services";
    private static final String DEFAULT_SERVICE = "default-service";

    /**
     * Reads the file.
     *
     * @param ownName the controller's, where the file names none
     * @throws IllegalArgumentException with one sentence that names file, line and key, and what would be right
     */
    public static DiscoveryFile read(Path file, String ownName) {
        TomlFile toml = TomlFile.parse(file);
        Set<String> known = new HashSet<>(Set.of(NAME, KEYS, SERVICES, DEFAULT_SERVICE));
        known.addAll(WatchTables.WATCH_KEYS);
        toml.onlyKeys(known);
        Map<String, Set<Integer>> services = WatchTables.services(toml);
        Map<Integer, String> byCell = new HashMap<>();
        services.forEach((service, cells) -> cells.forEach(cell -> byCell.put(cell, service)));
        String name = toml.has(NAME) ? WatchTables.name(toml, NAME) : ownName;
        return new DiscoveryFile(WatchTables.watchTerms(toml, name), toml.beside(toml.text(KEYS)), Map.copyOf(byCell),
                defaultService(toml, services.keySet()));
    }

    private static Optional<String> defaultService(TomlFile toml, Set<String> services) {
        if (!toml.has(DEFAULT_SERVICE)) {
            return Optional.empty();
        }
        String service = toml.text(DEFAULT_SERVICE);
        if (!services.contains(service)) {
            throw toml.error(DEFAULT_SERVICE, "'" + DEFAULT_SERVICE + "' is '" + service + "', which is no service of "
                    + "the table 'services'");
        }
        return Optional.of(service);
    }

    /** The service that set-ups of a first choice belong to; empty where there is none. */
    public Optional<String> serviceOf(int firstChoice) {
        return firstChoice < 0 ? defaultService : Optional.ofNullable(serviceByCell.get(firstChoice));
    }

    /** Reads the keys that the file names. */
    public KeyRing readKeys() {
        return WatchTables.keys(keys);
    }
}
