package pathlane.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab capacity}: prints the tables of docs/CAPACITY.md, or writes them into the page. */
@Command(name = "capacity", description = "Prints the tables of docs/CAPACITY.md out of measurements and assumptions.",
        mixinStandardHelpOptions = true)
public final class CapacityCommand implements Callable<Integer> {

    /** Where the CSV files and the assumptions are, from the project's root. */
    public static final Path FOLDER = Path.of("docs/measurements/capacity");
    /** The page, from the project's root. */
    public static final Path PAGE = Path.of("docs/CAPACITY.md");

    private static final String ASSUMPTIONS = "assumptions.toml";

    @Option(names = "--home", defaultValue = ".", description = "the project's root; ${DEFAULT-VALUE}")
    private Path home;

    @Option(names = "--write", description = "write the tables into the page")
    private boolean write;

    /** Builds the tables from the measurements and assumptions in a folder. */
    public static Map<String, String> tables(Path folder) throws IOException {
        return new CapacityTables(Assumptions.read(folder.resolve(ASSUMPTIONS)), Figures.read(folder)).all();
    }

    @Override
    public Integer call() throws IOException {
        Map<String, String> tables = tables(home.resolve(FOLDER));
        if (write) {
            Path page = home.resolve(PAGE);
            Files.writeString(page, CapacityPage.fill(Files.readString(page), tables));
        } else {
            tables.forEach((name, table) -> System.out.println("## " + name + "\n\n" + table));
        }
        return 0;
    }
}
