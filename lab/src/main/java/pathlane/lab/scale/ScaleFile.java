package pathlane.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads a {@link ScalePlan} from its TOML file; docs/LAB.md describes the keys. */
final class ScaleFile {

    private static final Set<String> TABLES = Set.of("fleet", "relays", "processes", "ordinary", "hundredfold", "zone-lost",
            "rolling-release", "relay-killed", "region-cut", "all-reconnect", "baseline");
    private static final double MOST_CHANGES_PER_DAY = 100_000_000;
    /** An hour: a run is bounded in time. */
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_CONTROLLERS = 100_000;
    private static final int MOST_PROCESSES = 200;

    private final Path file;

    private ScaleFile(Path file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @throws IllegalArgumentException with one sentence that says what is wrong, and where
     */
    static ScalePlan read(Path file) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the scale file " + file + " can't be read", e);
        }
        if (toml.hasErrors()) {
            throw new IllegalArgumentException(file + " line " + toml.errors().get(0).position().line() + ": "
                    + toml.errors().get(0).getMessage());
        }
        return new ScaleFile(file).plan(toml);
    }

    private ScalePlan plan(TomlTable toml) {
        refuseUnknown("", toml, Stream.concat(TABLES.stream(), Stream.of("title")).collect(Collectors.toSet()));
        String title = toml.getString("title");
        ScalePlan plan = new ScalePlan(title == null ? file.getFileName().toString() : title,
                fleet(new Table("fleet", toml)), relays(new Table("relays", toml)), processes(new Table("processes", toml)),
                days(toml));
        int processes = plan.relays().inRegions() + plan.relays().inZones() + plan.processes().hollow()
                + plan.processes().single();
        if (processes > MOST_PROCESSES) {
            throw new IllegalArgumentException(file + ": " + processes + " processes are more than " + MOST_PROCESSES);
        }
        return plan;
    }

    private static ScalePlan.Fleet fleet(Table table) {
        ScalePlan.Fleet fleet = new ScalePlan.Fleet(table.whole("controllers", 1, MOST_CONTROLLERS),
                table.whole("services", 1, MOST_CONTROLLERS), table.whole("largest-service", 1, MOST_CONTROLLERS),
                table.number("size-shape", 0.5, 5), table.whole("calls", 1, 100), table.number("call-popularity", 0, 1),
                table.whole("configuration-bytes", 0, 4096), table.whole("regions", 1, 100), table.whole("zones", 1, 100),
                table.whole("seed", 0, Integer.MAX_VALUE));
        table.refuseOthers();
        if (fleet.services() > fleet.controllers()) {
            throw table.unusable("services", "more than there are controllers");
        }
        return fleet;
    }

    private static ScalePlan.Relays relays(Table table) {
        ScalePlan.Relays relays = new ScalePlan.Relays(table.whole("in-regions", 1, 100), table.whole("in-zones", 1, 100),
                table.whole("subscribers", 1, MOST_CONTROLLERS), table.whole("bookmark-ms", 100, 10_000),
                table.whole("heap-mb", 16, 4096));
        table.refuseOthers();
        return relays;
    }

    private static ScalePlan.Processes processes(Table table) {
        ScalePlan.Processes processes = new ScalePlan.Processes(table.whole("hollow", 1, 100), table.whole("single", 0, 50),
                table.whole("hollow-heap-mb", 16, 4096), table.whole("seconds-at-most", 1, MOST_SECONDS));
        table.refuseOthers();
        return processes;
    }

    private ScalePlan.Days days(TomlTable toml) {
        return new ScalePlan.Days(day("ordinary", toml, ScaleFile::changes), day("hundredfold", toml, ScaleFile::changes),
                day("zone-lost", toml, table -> new ScalePlan.ZoneLost(table.whole("zone", 0, 99))),
                day("rolling-release", toml, table -> new ScalePlan.RollingRelease(
                        table.whole("servers", 1, MOST_CONTROLLERS), table.number("servers-per-second", 0.01, 10_000))),
                day("relay-killed", toml, ScaleFile::outage), day("region-cut", toml, ScaleFile::outage),
                day("all-reconnect", toml, ScaleFile::changes),
                day("baseline", toml, table -> new ScalePlan.Baseline(table.whole("controllers", 1, 10_000),
                        changesPerDay(table), seconds(table))));
    }

    private <T> Optional<T> day(String name, TomlTable toml, Function<Table, T> read) {
        if (!toml.contains(name)) {
            return Optional.empty();
        }
        Table table = new Table(name, toml);
        T day = read.apply(table);
        table.refuseOthers();
        return Optional.of(day);
    }

    private static ScalePlan.Changes changes(Table table) {
        return new ScalePlan.Changes(changesPerDay(table), seconds(table));
    }

    private static ScalePlan.Outage outage(Table table) {
        return new ScalePlan.Outage(changesPerDay(table), seconds(table));
    }

    private static double changesPerDay(Table table) {
        return table.number("changes-per-day", 1, MOST_CHANGES_PER_DAY);
    }

    private static int seconds(Table table) {
        return table.whole("seconds", 1, MOST_SECONDS);
    }

    private void refuseUnknown(String where, TomlTable table, Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw new IllegalArgumentException(file + ": '" + where + key + "' is no key; there are "
                        + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    /** One table of the file; remembers which keys were asked for. */
    private final class Table {

        private final String name;
        private final TomlTable values;
        private final Set<String> known = new HashSet<>();

        Table(String name, TomlTable toml) {
            this.name = name;
            if (!toml.isTable(name)) {
                throw new IllegalArgumentException(file + ": there is no table [" + name + "]");
            }
            this.values = toml.getTable(name);
        }

        int whole(String key, int least, int most) {
            known.add(key);
            if (!(values.get(key) instanceof Long number) || number < least || number > most) {
                throw unusable(key, "not a whole number from " + least + " to " + most);
            }
            return (int) (long) number;
        }

        double number(String key, double least, double most) {
            known.add(key);
            if (!(values.get(key) instanceof Number number) || number.doubleValue() < least || number.doubleValue() > most) {
                throw unusable(key, "not a number from " + least + " to " + most);
            }
            return number.doubleValue();
        }

        IllegalArgumentException unusable(String key, String why) {
            return new IllegalArgumentException(file + ": '" + name + "." + key + "' is " + values.get(key) + ", " + why);
        }

        void refuseOthers() {
            refuseUnknown(name + ".", values, known);
        }
    }
}
