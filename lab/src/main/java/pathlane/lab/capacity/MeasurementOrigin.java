package pathlane.lab.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The code and the machine that figures were measured with.
 *
 * @param commit of the code that is measured, abbreviated; a tree with changes gets a plus sign
 * @param machine its cores, memory and version of Java
 */
public record MeasurementOrigin(String commit, String machine) {

    private static final long GIB = 1L << 30;

    /** Returns this machine and the commit of the project at {@code home}. */
    public static MeasurementOrigin of(Path home) {
        String changes = output(home, "git", "status", "--porcelain", "--untracked-files=no", "--", "*.java", "pom.xml");
        String commit = output(home, "git", "rev-parse", "--short", "HEAD") + (changes.isEmpty() ? "" : "+");
        return new MeasurementOrigin(commit, Runtime.getRuntime().availableProcessors() + " cores " + memoryGib()
                + " GiB Java " + Runtime.version().feature());
    }

    private static long memoryGib() {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
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
}
