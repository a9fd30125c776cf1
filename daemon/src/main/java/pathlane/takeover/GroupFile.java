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
 * The operator's file that makes a controller a member of a group, in TOML.
 *
 * @param name this member's, or empty for the controller's own
 * @param listen where other members come
 * @param address where other members reach that, as {@code host:port}
 * @param voters where the register's voters listen; an odd number of them, from 1 to 7
 * @param keys the file of the group's keys
 * @param copies how many other members keep each record, from 1 to 9
 * @param window how long a change of a record may wait for others, from 0 to 1 s
 * @param waiting classes whose answers wait until their call is kept
 * @param waitMost how long such an answer waits at the most, from 1 ms to 5 s
 * @param pace calls a second that a successor goes on with, from 100 to 1,000,000
 * @param orphans how long an attempt whose controller went is let be; nought for ever
 */
public record GroupFile(String name, InetSocketAddress listen, String address, List<InetSocketAddress> voters, Path keys,
        int copies, LeaseTerms lease, Duration window, List<String> waiting, Duration waitMost, int pace,
        Duration orphans) {

    private static final Map<String, Set<String>> KNOWN = Map.of(
            "", Set.of("name", "listen", "address", "voters", "keys", "copies", "lease", "records", "takeover"),
            "lease", Set.of("length-ms", "drift", "write-lag-ms"),
            "records", Set.of("window-ms", "wait-for-cover", "wait-most-ms"),
            "takeover", Set.of("pace", "orphans-s"));
    private static final int MOST_VOTERS = 7;
    private static final int MOST_COPIES = 9;
    private static final int MOST_PACE = 1_000_000;
    private static final int LEAST_PACE = 100;
    private static final int USUAL_PACE = 20_000;
    private static final int SECOND = 1000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one sentence that names file, line and key, and what would be right
     */
    public static GroupFile read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("the group's file " + file + " can't be read", e);
        }
        return new Reader(file, Toml.parse(text)).read();
    }

    /** Reads the keys that the file names. */
    public KeyRing readKeys() {
        try {
            return KeyRing.read(Files.readString(keys));
        } catch (IOException e) {
            throw new IllegalArgumentException("the keys' file " + keys + " can't be read", e);
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
            unknown("", toml);
            InetSocketAddress listen = address("listen", text("listen", null));
            String address = text("address", text("listen", null));
            address("address", address);
            List<InetSocketAddress> voters = new ArrayList<>();
            for (String voter : texts("voters")) {
                voters.add(address("voters", voter));
            }
            if (voters.isEmpty() || voters.size() > MOST_VOTERS || voters.size() % 2 == 0
                    || new HashSet<>(voters).size() != voters.size()) {
                throw wrong("voters", voters.size() + " of them", "an odd number of different addresses from 1 to 7");
            }
            return new GroupFile(text("name", ""), listen, address, List.copyOf(voters),
                    file.toAbsolutePath().resolveSibling(text("keys", null)),
                    whole("copies", 3, 1, MOST_COPIES), lease(), millis("records.window-ms", 5, 0, SECOND),
                    texts("records.wait-for-cover"), millis("records.wait-most-ms", 200, 1, 5 * SECOND),
                    whole("takeover.pace", USUAL_PACE, LEAST_PACE, MOST_PACE),
                    Duration.ofSeconds(whole("takeover.orphans-s", 600, 0, Integer.MAX_VALUE)));
        }

        private LeaseTerms lease() {
            Duration length = millis("lease.length-ms", 3 * SECOND, 1, 600 * SECOND);
            Duration lag = millis("lease.write-lag-ms", 100, 0, 600 * SECOND);
            Object drift = toml.get("lease.drift");
            if (drift != null && !(drift instanceof Number)) {
                throw wrong("lease.drift", String.valueOf(drift), "a number from 0 to 0.2");
            }
            try {
                return new LeaseTerms(length, drift == null ? LeaseTerms.DEFAULT.drift() : ((Number) drift).doubleValue(),
                        lag);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file + ", part lease: " + e.getMessage(), e);
            }
        }

        private void unknown(String part, TomlTable table) {
            for (String key : table.keySet()) {
                String whole = part.isEmpty() ? key : part + "." + key;
                if (!KNOWN.get(part).contains(key)) {
                    throw new IllegalArgumentException(file + line(whole) + ": '" + whole + "' is no key; there are "
                            + String.join(", ", KNOWN.get(part).stream().sorted().toList()));
                }
                if (part.isEmpty() && KNOWN.containsKey(key)) {
                    if (!(table.get(List.of(key)) instanceof TomlTable inner)) {
                        throw wrong(key, "no table", "a table, [" + key + "]");
                    }
                    unknown(key, inner);
                }
            }
        }

        private String line(String key) {
            TomlPosition position = toml.inputPositionOf(key);
            return position == null ? "" : " line " + position.line();
        }

        private IllegalArgumentException wrong(String key, String found, String right) {
            return new IllegalArgumentException(file + line(key) + ": '" + key + "' is " + found + "; right would be "
                    + right);
        }

        private String text(String key, String usual) {
            Object value = toml.get(key);
            if (value == null && usual == null) {
                throw new IllegalArgumentException(file + ": '" + key + "' is missing");
            }
            if (value != null && !(value instanceof String)) {
                throw wrong(key, value.toString(), "text in quotes");
            }
            return value == null ? usual : (String) value;
        }

        private List<String> texts(String key) {
            Object value = toml.get(key);
            if (value == null) {
                return List.of();
            }
            if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(String.class::isInstance)) {
                throw wrong(key, value.toString(), "a list of texts in quotes");
            }
            return array.toList().stream().map(String.class::cast).toList();
        }

        private InetSocketAddress address(String key, String text) {
            try {
                return Addresses.parse(text);
            } catch (IllegalArgumentException e) {
                throw wrong(key, "'" + text + "'", "an address with a port");
            }
        }

        private int whole(String key, int usual, int least, int most) {
            Object value = toml.get(key);
            if (value == null) {
                return usual;
            }
            if (!(value instanceof Long number) || number < least || number > most) {
                throw wrong(key, value.toString(), "a whole number from " + least + " to " + most);
            }
            return (int) (long) number;
        }

        private Duration millis(String key, int usual, int least, int most) {
            return Duration.ofMillis(whole(key, usual, least, most));
        }
    }
}
