package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongConsumer;

/**
 * When each revision was committed at the source, in a file that all processes of a run map into memory. Each revision also
 * names the one before of the same service, so that a coalesced change counts for all changes that it stands for.
 *
 * <p>A revision is recorded before anything of it is sent, so that whoever receives it finds its entry.
 */
final class CommitLog {

    private static final int ENTRY_BYTES = 2 * Long.BYTES;
    /** A file of 16 MB, of which only what is used takes up room. */
    private static final int MOST_REVISIONS = 1 << 20;

    private final MappedByteBuffer entries;

    private CommitLog(Path file, MapMode mode, StandardOpenOption... options) {
        try (FileChannel channel = FileChannel.open(file, options)) {
            entries = channel.map(mode, 0, (long) ENTRY_BYTES * MOST_REVISIONS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A new log, for the source. */
    static CommitLog create(Path file) {
        return new CommitLog(file, MapMode.READ_WRITE, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /** An existing log, for a process that receives changes. */
    static CommitLog open(Path file) {
        return new CommitLog(file, MapMode.READ_ONLY, StandardOpenOption.READ);
    }

    /** Records that a revision is committed now; {@code previous} is the service's last one before, or 0. */
    void record(long number, long previous, Instant now) {
        if (number >= MOST_REVISIONS) {
            throw new IllegalStateException("a run has at most " + MOST_REVISIONS + " revisions");
        }
        int at = (int) number * ENTRY_BYTES;
        entries.putLong(at, micros(now));
        entries.putLong(at + Long.BYTES, previous);
    }

    /** Passes on the age in microseconds of each revision of one service after {@code held}, up to {@code number}. */
    void ages(long held, long number, Instant now, LongConsumer ages) {
        long until = micros(now);
        for (long at = number; at > held; at = entries.getLong((int) at * ENTRY_BYTES + Long.BYTES)) {
            ages.accept(Math.max(0, until - entries.getLong((int) at * ENTRY_BYTES)));
        }
    }

    private static long micros(Instant instant) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, instant);
    }
}
