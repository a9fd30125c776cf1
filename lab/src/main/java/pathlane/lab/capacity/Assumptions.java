package pathlane.lab.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** All assumptions by name, in the order of their file. Immutable. */
public final class Assumptions {

    private static final double HALF = 0.5;

    private final Map<String, Assumption> byName;

    private Assumptions(Map<String, Assumption> byName) {
        this.byName = byName;
    }

    /** Creates a collection of these assumptions, in this order. */
    public static Assumptions of(Collection<Assumption> all) {
        Map<String, Assumption> byName = new LinkedHashMap<>();
        all.forEach(one -> byName.put(one.name(), one));
        return new Assumptions(byName);
    }

    /**
     * Reads a TOML file with a list of tables {@code assumption}.
     *
     * @throws IllegalArgumentException if the file is invalid
     */
    public static Assumptions read(Path file) throws IOException {
        TomlParseResult parsed = Toml.parse(file);
        if (parsed.hasErrors()) {
            throw new IllegalArgumentException(file + ": " + parsed.errors().get(0).toString());
        }
        TomlArray tables = parsed.getArrayOrEmpty("assumption");
        Map<String, Assumption> byName = new LinkedHashMap<>();
        for (int i = 0; i < tables.size(); i++) {
            Assumption one = assumption(tables.getTable(i));
            if (byName.put(one.name(), one) != null) {
                throw new IllegalArgumentException(file + ": duplicate assumption '" + one.name() + "'");
            }
        }
        return new Assumptions(byName);
    }

    private static Assumption assumption(TomlTable table) {
        Object value = table.get("value");
        if (!(value instanceof Number number)) {
            throw new IllegalArgumentException("'value' of assumption '" + table.getString("name") + "' is not a number");
        }
        return new Assumption(table.getString("name"), number.doubleValue(), table.getString("unit", () -> ""),
                Assumption.Origin.valueOf(table.getString("origin", () -> "assumed").toUpperCase(Locale.ROOT)),
                table.getString("note", () -> ""));
    }

    public Collection<Assumption> all() {
        return Collections.unmodifiableCollection(byName.values());
    }

    /**
     * Returns the value of an assumption.
     *
     * @throws IllegalArgumentException if there is no such assumption
     */
    public double value(String name) {
        Assumption one = byName.get(name);
        if (one == null) {
            throw new IllegalArgumentException("there is no assumption '" + name + "'");
        }
        return one.value();
    }

    /** Returns a copy with one value replaced. */
    public Assumptions with(String name, double value) {
        Map<String, Assumption> changed = new LinkedHashMap<>(byName);
        value(name);
        changed.computeIfPresent(name, (key, one) -> one.withValue(value));
        return new Assumptions(changed);
    }

    /** Returns a copy with one value halved. */
    public Assumptions halved(String name) {
        return with(name, value(name) * HALF);
    }

    /** Returns a copy with one value doubled. */
    public Assumptions doubled(String name) {
        return with(name, value(name) / HALF);
    }

    /** Returns the fleet scaled to a number of servers: services, calls and daily events scale with it. */
    public Assumptions atFleet(double servers) {
        double factor = servers / value("servers");
        Assumptions scaled = this;
        for (String name : new String[] {"servers", "services", "calls-per-second", "config-changes-per-day",
                "restarts-per-day", "failures-per-day"}) {
            scaled = scaled.with(name, value(name) * factor);
        }
        return scaled;
    }
}
