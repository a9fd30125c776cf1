package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import pathlane.lab.capacity.Measurement;
import pathlane.lab.capacity.MeasurementFile;

/** Appends figures with the commit and the machine to the files of a folder, and prints them. */
final class Recorder {

    private static final long GIB = 1L << 30;

    private final Path folder;
    private final String commit;
    private final String machine;

    /** {@code home} is the project's root, whose commit is recorded; a tree with changes gets a plus sign. */
    Recorder(Path home, Path folder) {
        this.folder = folder;
        String changes = output(home, "git", "status", "--porcelain", "--untracked-files=no", "--", "*.java", "pom.xml");
        this.commit = output(home, "git", "rev-parse", "--short", "HEAD") + (changes.isEmpty() ? "" : "+");
        this.machine = Runtime.getRuntime().availableProcessors() + " cores " + memoryGib() + " GiB Java "
                + Runtime.version().feature();
    }

    private static long memoryGib() {
        var system = (com.sun.management.OperatingSystemMXBean) java.lang.management.ManagementFactory
                .getOperatingSystemMXBean();
        return Math.round(system.getTotalMemorySize() / (double) GIB);
    }

    private static String output(Path home, String... command) {
        try {
            Process process = new ProcessBuilder(command).directory(home.toFile()).redirectErrorStream(true).start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            return process.waitFor() == 0 ? text : "unknown";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Appends one figure to {@code NAME.csv}. */
    void record(String name, double size, int repetition, double figure) {
        try {
            MeasurementFile.append(folder.resolve(name + ".csv"),
                    new Measurement(commit, machine, size, repetition, figure));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        System.out.printf("%s size=%.0f repetition=%d: %.6g%n", name, size, repetition, figure);
    }
}
