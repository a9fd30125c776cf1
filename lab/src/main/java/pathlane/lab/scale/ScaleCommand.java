package pathlane.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pathlane.lab.Folders;
import pathlane.lab.capacity.MeasurementOrigin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab scale FILE}: plays discovery at size, prints its figures and appends them to files. */
@Command(name = "scale", description = "Plays discovery with thousands of hollow controllers; docs/LAB.md has the file's keys.",
        mixinStandardHelpOptions = true)
public final class ScaleCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "FILE", description = "the plan, as in lab/scale")
    private Path file;

    @Option(names = "--home", defaultValue = ".", description = "where the project was built; ${DEFAULT-VALUE}")
    private Path home;

    @Option(names = "--into", defaultValue = "docs/measurements/capacity",
            description = "the folder of the CSV files, below the project's; ${DEFAULT-VALUE}")
    private Path into;

    @Option(names = "--repetition", defaultValue = "1", description = "tells runs of one size apart; ${DEFAULT-VALUE}")
    private int repetition;

    @Option(names = "--keep", description = "an empty folder that keeps files and logs; else a temporary one")
    private Path keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path folder = keep == null ? Files.createTempDirectory("pathlane-scale") : Files.createDirectories(keep);
        ScaleRun.Result result = new ScaleRun(file, home, folder).play();
        MeasurementOrigin origin = MeasurementOrigin.of(home);
        FigureFiles files = new FigureFiles(home.resolve(into), origin, repetition);
        files.write(result);
        new ScaleReport(System.out, result, origin, files).print();
        if (keep == null && result.isRight()) {
            Folders.delete(folder);
        } else {
            System.out.println("logs are in " + folder);
        }
        return result.isRight() ? 0 : 1;
    }
}
