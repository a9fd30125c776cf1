package pathlane.takeover;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import pathlane.group.KeyRing;
import pathlane.group.LeaseTerms;
import pathlane.transport.Addresses;

/**
 * The TOML file with which the operator makes a controller a member of a group.
 *
 * @param name the member's name, or empty for the controller's own name
 * @param listen where connections of other members are accepted
 * @param address where other members reach that, as {@code host:port}
 * @param voters the addresses of the registry's voters; an odd number of them, from 1 to 7
 * @param keys the file with the group's keys
 * @param replicaCount how many other members hold a replica of each record, from 1 to 9
 * @param batchWindow how long a change of a record may be delayed to be batched with others, from 0 to 1 s
 * @param synchronousClasses the call classes whose answers wait until their call is replicated
 * @param maxAnswerDelay how long such an answer waits at most, from 1 ms to 5 s
 * @param adoptionsPerSecond how many calls a second a successor adopts, from 100 to 1,000,000
 * @param orphanTimeout how long an attempt that its controller left open is kept; zero for unlimited
 */
public record GroupFile(String name, InetSocketAddress listen, String address, List<InetSocketAddress> voters, Path keys,
        int replicaCount, LeaseTerms lease, Duration batchWindow, List<String> synchronousClasses,
        Duration maxAnswerDelay, int adoptionsPerSecond, Duration orphanTimeout) {

    private static final Map<String, Set<String>> KNOWN_KEYS = Map.of(
            "", Set.of("name", "listen", "address", "voters", "keys", "copies", "lease", "records", "takeover"),
            "lease", Set.of("length-ms", "drift", "write-lag-ms"),
            "records", Set.of("window-ms", "wait-for-cover", "wait-most-ms"),
            "takeover", Set.of("pace", "orphans-s"));
    private static final int MAX_VOTERS = 7;
    private static final int MAX_REPLICAS = 9;
    private static final int MAX_ADOPTIONS_PER_SECOND = 1_000_000;
    private static final int MIN_ADOPTIONS_PER_SECOND = 100;
    private static final int DEFAULT_ADOPTIONS_PER_SECOND = 20_000;
    private static final int MILLIS_PER_SECOND = 1000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one sentence that gives the file, the line, the key and the valid values
     */
    public static GroupFile read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("group file " + file + " can't be read", e);
        }
        return new Reader(file, Toml.parse(text)).read();
    }

    /** Reads the key file that this file names. */
    public KeyRing readKeys() {
        try {
            return KeyRing.read(Files.readString(keys));
        } catch (IOException e) {
            throw new IllegalArgumentException("key file " + keys + " can't be read", e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(keys + ": " + e.getMessage(), e);
        }
    }

    private static final class Reader {

        private final Path file;
        private final TomlParseResult toml;

        Reader(Path file, TomlParseResult toml) {
            this.file = file;
            this.toml = toml;
        }

        GroupFile read() {
            if (toml.hasErrors()) {
                TomlParseError first = toml.errors().get(0);
                throw new IllegalArgumentException(file + " line " + first.position().line() + ": " + first.getMessage());
            }
            checkKeys("", toml);
            InetSocketAddress listen = address("listen", string("listen", null));
            String address = string("address", string("listen", null));
            address("address", address);
            List<InetSocketAddress> voters = new ArrayList<>();
            for (String voter : strings("voters")) {
                voters.add(address("voters", voter));
            }
            if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.size() % 2 == 0
                    || new HashSet<>(voters).size() != voters.size()) {
                throw invalid("voters", voters.size() + " addresses", "an odd number of distinct addresses from 1 to 7");
            }
            return new GroupFile(string("name", ""), listen, address, List.copyOf(voters),
                    file.toAbsolutePath().resolveSibling(string("keys", null)),
                    integer("copies", 3, 1, MAX_REPLICAS), lease(), millis("records.window-ms", 5, 0, MILLIS_PER_SECOND),
                    strings("records.wait-for-cover"), millis("records.wait-most-ms", 200, 1, 5 * MILLIS_PER_SECOND),
                    integer("takeover.pace", DEFAULT_ADOPTIONS_PER_SECOND,
                            MIN_ADOPTIONS_PER_SECOND, MAX_ADOPTIONS_PER_SECOND),
                    Duration.ofSeconds(integer("takeover.orphans-s", 600, 0, Integer.MAX_VALUE)));
        }

        private LeaseTerms lease() {
            Duration length = millis("lease.length-ms", 3 * MILLIS_PER_SECOND, 1, 600 * MILLIS_PER_SECOND);
            Duration writeLag = millis("lease.write-lag-ms", 100, 0, 600 * MILLIS_PER_SECOND);
            Object drift = toml.get("lease.drift");
            if (drift != null && !(drift instanceof Number)) {
                throw invalid("lease.drift", String.valueOf(drift), "a number from 0 to 0.2");
            }
            try {
                return new LeaseTerms(length, drift == null ? LeaseTerms.DEFAULT.drift() : ((Number) drift).doubleValue(),
                        writeLag);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file + ", table [lease]: " + e.getMessage(), e);
            }
        }

        private void checkKeys(String part, TomlTable table) {
            for (String key : table.keySet()) {
                String fullKey = part.isEmpty() ? key : part + "." + key;
                if (!KNOWN_KEYS.get(part).contains(key)) {
                    throw new IllegalArgumentException(file + line(fullKey) + ": '" + fullKey
                            + "' is not a known key; known keys: "
                            + String.join(", ", KNOWN_KEYS.get(part).stream().sorted().toList()));
                }
                if (part.isEmpty() && KNOWN_KEYS.containsKey(key)) {
                    if (!(table.get(List.of(key)) instanceof TomlTable inner)) {
                        throw invalid(key, "not a table", "a table [" + key + "]");
                    }
                    checkKeys(key, inner);
                }
            }
        }

        private String line(String key) {
            TomlPosition position = toml.inputPositionOf(key);
            return position == null ? "" : " line " + position.line();
        }

        private IllegalArgumentException invalid(String key, String found, String expected) {
            return new IllegalArgumentException(file + line(key) + ": '" + key + "' is " + found + "; expected "
                    + expected);
        }

        private String string(String key, String defaultValue) {
            Object value = toml.get(key);
            if (value == null && defaultValue == null) {
                throw new IllegalArgumentException(file + ": '" + key + "' is missing");
            }
            if (value != null && !(value instanceof String)) {
                throw invalid(key, value.toString(), "a string");
            }
            return value == null ? defaultValue : (String) value;
        }

        private List<String> strings(String key) {
            Object value = toml.get(key);
            if (value == null) {
                return List.of();
            }
            if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(String.class::isInstance)) {
                throw invalid(key, value.toString(), "an array of strings");
            }
            return array.toList().stream().map(String.class::cast).toList();
        }

        private InetSocketAddress address(String key, String text) {
            try {
                return Addresses.parse(text);
            } catch (IllegalArgumentException e) {
                throw invalid(key, "'" + text + "'", "an address with a port");
            }
        }

        private int integer(String key, int defaultValue, int min, int max) {
            Object value = toml.get(key);
            if (value == null) {
                return defaultValue;
            }
            if (!(value instanceof Long number) || number < min || number > max) {
                throw invalid(key, value.toString(), "an integer from " + min + " to " + max);
            }
            return (int) (long) number;
        }

        private Duration millis(String key, int defaultValue, int min, int max) {
            return Duration.ofMillis(integer(key, defaultValue, min, max));
        }
    }
}
