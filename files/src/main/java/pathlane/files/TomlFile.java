package pathlane.files;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import pathlane.transport.Addresses;

/**
 * A table of a TOML file, read key by key. An invalid value throws an {@link IllegalArgumentException} whose one-sentence
 * message names the file, the line and the expected value.
 */
public final class TomlFile {

    private final Path file;
    private final TomlTable table;
    /** Path of the table within the file, such as {@code limits.}; empty for the root table. */
    private final String prefix;
    private final int line;

    private TomlFile(Path file, TomlTable table, String prefix, int line) {
        this.file = file;
        this.table = table;
        this.prefix = prefix;
        this.line = line;
    }

    /** Reads and parses the file. */
    public static TomlFile parse(Path file) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the file " + file + " cannot be read", e);
        }
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new IllegalArgumentException(file + " line " + first.position().line() + ": " + first.getMessage());
        }
        return new TomlFile(file, toml, "", 0);
    }

    /** Resolves a path given in this file, relative to the directory of this file. */
    public Path resolveSibling(String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }

    /** Returns the keys of this table. */
    public Set<String> keys() {
        return table.keySet();
    }

    /** Returns whether the table contains the key. */
    public boolean has(String key) {
        return table.get(List.of(key)) != null;
    }

    /** Rejects any key that is not known: a misspelt key would otherwise be ignored silently. */
    public void requireKnownKeys(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw error(key, "'" + prefix + key + "' is no key here; there are "
                        + String.join(", ", new TreeSet<>(known)));
            }
        }
    }

    /** Returns an error about a key of this table, prefixed with the file and the line. */
    public IllegalArgumentException error(String key, String sentence) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        int at = position == null ? line : position.line();
        return new IllegalArgumentException(file + (at == 0 ? "" : " line " + at) + ": " + sentence);
    }

    private IllegalArgumentException invalidValue(String key, Object found, String expected) {
        return error(key, "'" + prefix + key + "' is " + found + "; expected " + expected);
    }

    private Object required(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            throw error(key, "'" + prefix + key + "' is missing");
        }
        return value;
    }

    /** Returns a required string. */
    public String text(String key) {
        Object value = required(key);
        if (!(value instanceof String text)) {
            throw invalidValue(key, value, "text in quotes");
        }
        return text;
    }

    /** Returns a string, or the default if the key is absent. */
    public String text(String key, String defaultValue) {
        return has(key) ? text(key) : defaultValue;
    }

    /** Returns a required address with a port. */
    public InetSocketAddress address(String key) {
        String text = text(key);
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw invalidValue(key, "'" + text + "'", "an address with a port");
        }
    }

    /** Returns an integer within bounds, or the default if the key is absent. */
    public long integer(String key, long defaultValue, long min, long max) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Long number) || number < min || number > max) {
            throw invalidValue(key, value, "an integer from " + min + " to " + max);
        }
        return number;
    }

    /** Returns a number within bounds, or the default if the key is absent. */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number) || number.doubleValue() < min || number.doubleValue() > max) {
            throw invalidValue(key, value, "a number from " + min + " to " + max);
        }
        return number.doubleValue();
    }

    /** Returns a duration in milliseconds within bounds, or the default if the key is absent. */
    public Duration millis(String key, Duration defaultValue, Duration min, Duration max) {
        return Duration.ofMillis(integer(key, defaultValue.toMillis(), min.toMillis(), max.toMillis()));
    }

    /** Returns a required list of integers within bounds. */
    public List<Long> integers(String key, long min, long max) {
        Object value = required(key);
        if (!(value instanceof TomlArray array) || !array.toList().stream()
                .allMatch(element -> element instanceof Long number && number >= min && number <= max)) {
            throw invalidValue(key, value instanceof TomlArray array ? array.toJson() : value,
                    "a list of integers from " + min + " to " + max);
        }
        return array.toList().stream().map(Long.class::cast).toList();
    }

    /** Returns a nested table, or an empty element if the key is absent. */
    public TomlFile table(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return new TomlFile(file, Toml.parse(""), prefix + key + ".", 0);
        }
        if (!(value instanceof TomlTable inner)) {
            throw invalidValue(key, value, "a table, [" + prefix + key + "]");
        }
        return new TomlFile(file, inner, prefix + key + ".", table.inputPositionOf(List.of(key)).line());
    }

    /** Returns whether the value of the key is a table. */
    public boolean isTable(String key) {
        return table.get(List.of(key)) instanceof TomlTable;
    }

    /** Returns the tables of an array, {@code [[key]]}; empty if the key is absent. */
    public List<TomlFile> tables(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw invalidValue(key, value, "a list of tables, [[" + prefix + key + "]]");
        }
        List<TomlFile> tables = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            tables.add(new TomlFile(file, array.getTable(i), prefix + key + ".", array.inputPositionOf(i).line()));
        }
        return tables;
    }

    /** Returns the choice that the required string names. */
    public <T> T choice(String key, Map<String, T> choices) {
        String text = text(key);
        T chosen = choices.get(text);
        if (chosen == null) {
            throw invalidValue(key, "'" + text + "'", "one of " + String.join(", ", new TreeSet<>(choices.keySet())));
        }
        return chosen;
    }
}
