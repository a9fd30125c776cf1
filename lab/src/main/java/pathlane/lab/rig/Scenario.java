package pathlane.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import pathlane.group.LeaseTerms;

/**
 * A scenario read from a TOML file: the group's shape and a sequence of steps, whose syntax docs/LAB.md describes.
 *
 * @param title what the scenario tests, in one sentence
 */
public record Scenario(String title, Rig.Shape shape, List<String> steps) {

    private static final Set<String> KNOWN_KEYS = Set.of("title", "controllers", "servers", "voters", "copies", "lease-ms",
            "work-ms", "pace", "orphans-s", "steps");
    private static final double CLOCK_DRIFT = 0.01;
    private static final int WRITE_LAG_DIVISOR = 8;
    private static final int MAX_PROCESSES = 64;

    /**
     * Reads a scenario file.
     *
     * @throws IllegalArgumentException with one sentence that names the fault and its place
     */
    public static Scenario read(Path file) {
        TomlParseResult toml;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the scenario " + file + " can't be read", e);
        }
        if (toml.hasErrors()) {
            throw new IllegalArgumentException(file + " line " + toml.errors().get(0).position().line() + ": "
                    + toml.errors().get(0).getMessage());
        }
        for (String key : toml.keySet()) {
            if (!KNOWN_KEYS.contains(key)) {
                throw new IllegalArgumentException(file + ": '" + key + "' is not a known key; known keys: "
                        + String.join(", ", KNOWN_KEYS.stream().sorted().toList()));
            }
        }
        TomlArray lines = toml.getArray("steps");
        if (lines == null || lines.isEmpty() || !lines.toList().stream().allMatch(String.class::isInstance)) {
            throw new IllegalArgumentException(file + ": 'steps' is not a list of strings");
        }
        List<String> steps = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            steps.add(lines.getString(i));
        }
        Duration lease = Duration.ofMillis(integer(file, toml, "lease-ms", 1000, 300, 60_000));
        Rig.Shape shape = new Rig.Shape(integer(file, toml, "controllers", 3, 1, MAX_PROCESSES),
                integer(file, toml, "servers", 2, 1, MAX_PROCESSES), integer(file, toml, "voters", 3, 0, 7),
                integer(file, toml, "copies", 2, 1, 9),
                new LeaseTerms(lease, CLOCK_DRIFT, lease.dividedBy(WRITE_LAG_DIVISOR)),
                Duration.ofMillis(integer(file, toml, "work-ms", 5, 0, 60_000)),
                integer(file, toml, "pace", 20_000, 100, 1_000_000),
                Duration.ofSeconds(integer(file, toml, "orphans-s", 2, 0, 600)));
        String title = toml.getString("title");
        return new Scenario(title == null ? file.getFileName().toString() : title, shape, List.copyOf(steps));
    }

    private static int integer(Path file, TomlParseResult toml, String key, int defaultValue, int min, int max) {
        Object value = toml.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Long number) || number < min || number > max) {
            throw new IllegalArgumentException(file + ": '" + key + "' is " + value + "; expected an integer from "
                    + min + " to " + max);
        }
        return (int) (long) number;
    }
}
