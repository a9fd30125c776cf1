package pathlane.voter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import pathlane.group.KeyRing;
import pathlane.group.LeaseTerms;
import pathlane.transport.Addresses;

/**
 * The configuration file of a voter, in TOML.
 *
 * @param name the name of this voter
 * @param memberAddress the address on which members connect
 * @param voters the names of all voters including this one, and the addresses on which they connect to each other
 * @param keyFile the file of the group's keys
 * @param storeDirectory the directory of the log
 */
public record VoterFile(String name, InetSocketAddress memberAddress, Map<String, InetSocketAddress> voters, Path keyFile,
        Path storeDirectory, LeaseTerms lease) {

    private static final Set<String> KNOWN_KEYS = Set.of("name", "members", "voters", "keys", "store", "lease",
            "lease.length-ms", "lease.drift", "lease.write-lag-ms");

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException if it is invalid; the message says in one sentence what is wrong, and where
     */
    public static VoterFile read(Path file) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("voter configuration " + file + " can't be read", e);
        }
        if (toml.hasErrors()) {
            throw new IllegalArgumentException(file + " line " + toml.errors().get(0).position().line() + ": "
                    + toml.errors().get(0).getMessage());
        }
        for (String key : toml.dottedKeySet()) {
            if (!KNOWN_KEYS.contains(key)) {
                throw new IllegalArgumentException(file + " line " + toml.inputPositionOf(key).line() + ": '" + key
                        + "' is not a known key; known keys: " + String.join(", ", KNOWN_KEYS.stream().sorted().toList()));
            }
        }
        try {
            return read(file, toml);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    private static VoterFile read(Path file, TomlParseResult toml) {
        String name = requireString(toml, "name");
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        TomlArray entries = toml.getArray("voters");
        for (int i = 0; entries != null && i < entries.size(); i++) {
            String[] parts = entries.getString(i).split("=", 2);
            if (parts.length != 2 || voters.put(parts[0], Addresses.parse(parts[1])) != null) {
                throw new IllegalArgumentException("'voters' has '" + entries.getString(i)
                        + "'; expected a unique name, '=' and an address with a port");
            }
        }
        if (!voters.containsKey(name) || voters.size() % 2 == 0) {
            throw new IllegalArgumentException("'voters' are " + voters.keySet()
                    + "; expected an odd number of voters, '" + name + "' among them");
        }
        return new VoterFile(name, Addresses.parse(requireString(toml, "members")), voters,
                file.toAbsolutePath().resolveSibling(requireString(toml, "keys")),
                file.toAbsolutePath().resolveSibling(requireString(toml, "store")), lease(toml));
    }

    private static LeaseTerms lease(TomlParseResult toml) {
        Long length = toml.getLong("lease.length-ms");
        Double drift = toml.getDouble("lease.drift");
        Long writeLag = toml.getLong("lease.write-lag-ms");
        LeaseTerms defaults = LeaseTerms.DEFAULT;
        return new LeaseTerms(length == null ? defaults.length() : Duration.ofMillis(length),
                drift == null ? defaults.drift() : drift,
                writeLag == null ? defaults.writeLag() : Duration.ofMillis(writeLag));
    }

    private static String requireString(TomlParseResult toml, String key) {
        String text = toml.getString(key);
        if (text == null) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return text;
    }

    /** Reads the key file that the configuration names. */
    public KeyRing readKeys() {
        try {
            return KeyRing.read(Files.readString(keyFile));
        } catch (IOException e) {
            throw new IllegalArgumentException("key file " + keyFile + " can't be read", e);
        }
    }
}
