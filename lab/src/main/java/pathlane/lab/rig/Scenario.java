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

    private static final Set<String> KNOWN = Set.of("title", "controllers", "servers", "voters", "copies", "lease-ms",
            "work-ms", "pace", "orphans-s", "steps");
    private static final double DRIFT = 0.01;
    private static final int LAG_PART = 8;
    private static final int MOST_PROCESSES = 64;

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
            if (!KNOWN.contains(key)) {
                throw new IllegalArgumentException(file + ": '" + key + "' is not a known key; known keys: "
                        + String.join(", ", KNOWN.stream().sorted().toList()));
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
        Duration lease = Duration.ofMillis(whole(file, toml, "lease-ms", 1000, 300, 60_000));
        Rig.Shape shape = new Rig.Shape(whole(file, toml, "controllers", 3, 1, MOST_PROCESSES),
                whole(file, toml, "servers", 2, 1, MOST_PROCESSES), whole(file, toml, "voters", 3, 0, 7),
                whole(file, toml, "copies", 2, 1, 9), new LeaseTerms(lease, DRIFT, lease.dividedBy(LAG_PART)),
                Duration.ofMillis(whole(file, toml, "work-ms", 5, 0, 60_000)),
                whole(file, toml, "pace", 20_000, 100, 1_000_000),
                Duration.ofSeconds(whole(file, toml, "orphans-s", 2, 0, 600)));
        String title = toml.getString("title");
        return new Scenario(title == null ? file.getFileName().toString() : title, shape, List.copyOf(steps));
    }

    private static int whole(Path file, TomlParseResult toml, String key, int usual, int least, int most) {
        Object value = toml.get(key);
        if (value == null) {
            return usual;
        }
        if (!(value instanceof Long number) || number < least || number > most) {
            throw new IllegalArgumentException(file + ": '" + key + "' is " + value + "; expected an integer from "
                    + least + " to " + most);
        }
        return (int) (long) number;
    }
}
