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
 * The operator's TOML file that makes a controller get the server lists of its services from relays.
 *
 * @param watch the controller's name and location, and the publishers that it may use
 * @param keyFile the file with the keys that authenticate each frame
 * @param serviceByPool the service of each pool that call requests name
 * @param defaultService the service of call requests that name no pool; if empty, such requests fail
 */
public record DiscoveryFile(WatchTerms watch, Path keyFile, Map<Integer, String> serviceByPool,
        Optional<String> defaultService) {

    private static final String NAME = "name";
    private static final String KEYS = "keys";
    private static final String SERVICES = "services";
    private static final String DEFAULT_SERVICE = "default-service";

    /**
     * Reads the file.
     *
     * @param ownName the controller's name if the file has none
     * @throws IllegalArgumentException with a one-line message that names file, line, key and the expected value
     */
    public static DiscoveryFile read(Path file, String ownName) {
        TomlFile toml = TomlFile.parse(file);
        Set<String> known = new HashSet<>(Set.of(NAME, KEYS, SERVICES, DEFAULT_SERVICE));
        known.addAll(WatchTables.WATCH_KEYS);
        toml.requireKnownKeys(known);
        Map<String, Set<Integer>> services = WatchTables.services(toml);
        Map<Integer, String> serviceByPool = new HashMap<>();
        services.forEach((service, pools) -> pools.forEach(pool -> serviceByPool.put(pool, service)));
        String name = toml.has(NAME) ? WatchTables.name(toml, NAME) : ownName;
        return new DiscoveryFile(WatchTables.watchTerms(toml, name), toml.resolveSibling(toml.text(KEYS)),
                Map.copyOf(serviceByPool),
                defaultService(toml, services.keySet()));
    }

    private static Optional<String> defaultService(TomlFile toml, Set<String> services) {
        if (!toml.has(DEFAULT_SERVICE)) {
            return Optional.empty();
        }
        String service = toml.text(DEFAULT_SERVICE);
        if (!services.contains(service)) {
            throw toml.error(DEFAULT_SERVICE, "'" + DEFAULT_SERVICE + "' is '" + service + "', which is not a service in "
                    + "the table 'services'");
        }
        return Optional.of(service);
    }

    /** The service of call requests with this preferred pool, -1 for none; empty if there is no such service. */
    public Optional<String> serviceOf(int preferredPool) {
        return preferredPool < 0 ? defaultService : Optional.ofNullable(serviceByPool.get(preferredPool));
    }

    /** Reads the keys that the file names. */
    public KeyRing readKeys() {
        return WatchTables.keys(keyFile);
    }
}
