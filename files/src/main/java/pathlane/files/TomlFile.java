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
 * One table of a TOML file, read key by key. Whatever can't be used ends in an {@link IllegalArgumentException} with one
 * sentence that names the file, the line and what would be right.
 */
public final class TomlFile {

    private final Path file;
    private final TomlTable table;
    /** Where the table stands, as in {@code limits.}; empty for the whole file. */
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
            throw new IllegalArgumentException("the file " + file + " can't be read", e);
        }
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new IllegalArgumentException(file + " line " + first.position().line() + ": " + first.getMessage());
        }
        return new TomlFile(file, toml, "", 0);
    }

    /** The file that is named by a path in this one, relative to it. */
    public Path beside(String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }

    /** The keys of this table. */
    public Set<String> keys() {
        return table.keySet();
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        return table.get(List.of(key)) != null;
    }

    /** Refuses a key that is none of these: a misspelt one would be passed over in silence. */
    public void onlyKeys(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw error(key, "'" + prefix + key + "' is no key here; there are "
                        + String.join(", ", new TreeSet<>(known)));
            }
        }
    }

    /** The sentence about a key of this table. */
    public IllegalArgumentException error(String key, String sentence) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        int at = position == null ? line : position.line();
        return new IllegalArgumentException(file + (at == 0 ? "" : " line " + at) + ": " + sentence);
    }

    private IllegalArgumentException wrong(String key, Object found, String right) {
        return error(key, "'" + prefix + key + "' is " + found + "; right would be " + right);
    }

    private Object required(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            throw error(key, "'" + prefix + key + "' is missing");
        }
        return value;
    }

    /** A text that must be there. */
    public String text(String key) {
        Object value = required(key);
        if (!(value instanceof String text)) {
            throw wrong(key, value, "text in quotes");
        }
        return text;
    }

    /** A text, or the usual one where the key is absent. */
    public String text(String key, String usual) {
        return has(key) ? text(key) : usual;
    }

    /** An address with a port; it must be there. */
    public InetSocketAddress address(String key) {
        String text = text(key);
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw wrong(key, "'" + text + "'", "an address with a port");
        }
    }

    /** A whole number within bounds, or the usual one where the key is absent. */
    public long whole(String key, long usual, long least, long most) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return usual;
        }
        if (!(value instanceof Long number) || number < least || number > most) {
            throw wrong(key, value, "a whole number from " + least + " to " + most);
        }
        return number;
    }

    /** A number within bounds, or the usual one where the key is absent. */
    public double number(String key, double usual, double least, double most) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return usual;
        }
        if (!(value instanceof Number number) || number.doubleValue() < least || number.doubleValue() > most) {
            throw wrong(key, value, "a number from " + least + " to " + most);
        }
        return number.doubleValue();
    }

    /** A time in milliseconds within bounds, or the usual one where the key is absent. */
    public Duration millis(String key, Duration usual, Duration least, Duration most) {
        return Duration.ofMillis(whole(key, usual.toMillis(), least.toMillis(), most.toMillis()));
    }

    /** A list of whole numbers. */
    public List<Long> wholes(String key, long least, long most) {
        Object value = required(key);
        if (!(value instanceof TomlArray array) || !array.toList().stream()
                .allMatch(one -> one instanceof Long number && number >= least && number <= most)) {
            throw wrong(key, value instanceof TomlArray array ? array.toJson() : value,
                    "a list of whole numbers from " + least + " to " + most);
        }
        return array.toList().stream().map(Long.class::cast).toList();
    }

    /** A table within this one; an empty one where the key is absent. */
    public TomlFile table(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return new TomlFile(file, Toml.parse(""), prefix + key + ".", 0);
        }
        if (!(value instanceof TomlTable inner)) {
            throw wrong(key, value, "a table, [" + prefix + key + "]");
        }
        return new TomlFile(file, inner, prefix + key + ".", table.inputPositionOf(List.of(key)).line());
    }

    /** Whether the value of the key is a table. */
    public boolean isTable(String key) {
        return table.get(List.of(key)) instanceof TomlTable;
    }

    /** The tables of a list, {@code [[key]]}; none where the key is absent. */
    public List<TomlFile> tables(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw wrong(key, value, "a list of tables, [[" + prefix + key + "]]");
        }
        List<TomlFile> tables = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            tables.add(new TomlFile(file, array.getTable(i), prefix + key + ".", array.inputPositionOf(i).line()));
        }
        return tables;
    }

    /** The constant of that name among others. */
    public <T> T choice(String key, Map<String, T> choices) {
        String text = text(key);
        T chosen = choices.get(text);
        if (chosen == null) {
            throw wrong(key, "'" + text + "'", "one of " + String.join(", ", new TreeSet<>(choices.keySet())));
        }
        return chosen;
    }
}
