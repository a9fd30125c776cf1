package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Processor time of a process's threads, user and system, as counted by the kernel's scheduler.
 *
 * @param nanosByThread nanoseconds of each live thread, by its system id
 */
record ProcessorTime(Map<String, Long> nanosByThread) {

    private static final double NANOS_IN_MILLI = 1e6;

    /** Reads the processor time of a process from {@code /proc}. */
    static ProcessorTime of(long pid) {
        Map<String, Long> nanos = new HashMap<>();
        for (Path thread : threads(pid)) {
            try {
                String line = Files.readString(thread.resolve("schedstat"));
                nanos.put(thread.getFileName().toString(), Long.parseLong(line.substring(0, line.indexOf(' '))));
            } catch (IOException e) {
                continue;   // the thread has ended since the folder was read
            }
        }
        return new ProcessorTime(nanos);
    }

    private static List<Path> threads(long pid) {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            return threads.toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the total in milliseconds. */
    double millis() {
        return millisSince(new ProcessorTime(Map.of()));
    }

    /** Returns the milliseconds used since an earlier reading, without threads that have ended meanwhile. */
    double millisSince(ProcessorTime earlier) {
        return nanosByThread.entrySet().stream()
                .mapToLong(one -> one.getValue() - earlier.nanosByThread.getOrDefault(one.getKey(), 0L))
                .sum() / NANOS_IN_MILLI;
    }
}
