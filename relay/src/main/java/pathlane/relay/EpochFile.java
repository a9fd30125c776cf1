package pathlane.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * A file with the number of a source's starts. Each start takes an epoch greater than all before and syncs it to disk before
 * anything is published under it, so that subscribers never take outdated content for newer after a restart.
 */
final class EpochFile {

    private static final int MAX_BYTES = 32;

    private final Path file;

    EpochFile(Path file) {
        this.file = file;
    }

    /**
     * Takes the next epoch. It is durable on disk once this returns.
     *
     * @throws IllegalArgumentException if the file contains no valid epoch or cannot be written: a source must not start
     *                                  without an epoch
     */
    long next() {
        long epoch = last() + 1;
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try {
            write(temporary, epoch);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            // The rename is durable only once the directory is synced as well.
            try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
                directory.force(true);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("the epoch file " + file + " can't be written (" + e
                    + "); the source does not start without one", e);
        }
        return epoch;
    }

    private static void write(Path temporary, long epoch) throws IOException {
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap((epoch + "\n").getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
    }

    /** Returns the epoch of the last start; 0 before the first. */
    private long last() {
        if (!Files.exists(file)) {
            return 0;
        }
        String text;
        try {
            text = Files.size(file) > MAX_BYTES ? "too long" : Files.readString(file, StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            throw new IllegalArgumentException("the epoch file " + file + " cannot be read (" + e
                    + "); the source does not start without its last epoch", e);
        }
        try {
            long epoch = Long.parseLong(text);
            if (epoch > 0 && epoch < Long.MAX_VALUE) {
                return epoch;
            }
        } catch (NumberFormatException e) {
            // Reported below. An unreadable epoch is not taken for a missing one: the next epoch would be too low.
        }
        throw new IllegalArgumentException(file + " line 1: '" + text.lines().findFirst().orElse("")
                + "' is no epoch; expected an integer greater than all earlier epochs of this source");
    }
}
