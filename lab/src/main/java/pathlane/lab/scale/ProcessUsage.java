package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * What the system says of a process.
 *
 * @param cpu processor time so far, user and system
 * @param transferred bytes read and written by system calls so far: once it has started, those on its sockets and its log
 * @param residentBytes physical memory that it takes up now
 */
record ProcessUsage(Duration cpu, long transferred, long residentBytes) {

    private static final long KIBIBYTE = 1024;

    /** Of this process. */
    static ProcessUsage now() {
        return of(ProcessHandle.current());
    }

    /**
     * Of any process of this user.
     *
     * @throws UncheckedIOException where it has ended
     */
    static ProcessUsage of(ProcessHandle process) {
        try {
            long transferred = field(process, "io", "rchar:") + field(process, "io", "wchar:");
            return new ProcessUsage(process.info().totalCpuDuration().orElse(Duration.ZERO), transferred,
                    field(process, "status", "VmRSS:") * KIBIBYTE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long field(ProcessHandle process, String file, String field) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), file)).stream()
                .filter(line -> line.startsWith(field)).findFirst()
                .map(line -> Long.parseLong(line.substring(field.length()).strip().split(" ")[0])).orElse(0L);
    }
}
