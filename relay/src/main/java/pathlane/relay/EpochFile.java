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
 * The number of a source's starts, in a file of its own. Each start takes a greater one than any before and has it on the
 * disk before anything is published under it, so that a source which began anew can't pass old content for new.
 */
final class EpochFile {

    private static final int LONGEST = 32;

    private final Path file;

    EpochFile(Path file) {
        this.file = file;
    }

    /**
     * Takes the next epoch. Once this returns, it is on the disk.
     *
     * @throws IllegalArgumentException with a sentence where the file holds no epoch, or can't be written: a source without
     *                                  an epoch must not start
     */
    long next() {
        long epoch = last() + 1;
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        try {
            write(fresh, epoch);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            // The rename itself is on the disk only once its folder is.
            try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
                folder.force(true);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("the epoch's file " + file + " can't be written (" + e
                    + "); the source does not start without one", e);
        }
        return epoch;
    }

    private static void write(Path fresh, long epoch) throws IOException {
        try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap((epoch + "\n").getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
    }

    /** The epoch of the last start; 0 before the first. */
    private long last() {
        if (!Files.exists(file)) {
            return 0;
        }
        String text;
        try {
            text = Files.size(file) > LONGEST ? "too long" : Files.readString(file, StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            throw new IllegalArgumentException("the epoch's file " + file + " can't be read (" + e
                    + "); the source does not start without its last epoch", e);
        }
        try {
            long epoch = Long.parseLong(text);
            if (epoch > 0 && epoch < Long.MAX_VALUE) {
                return epoch;
            }
        } catch (NumberFormatException e) {
            // Told below. An unreadable epoch is never taken for none: the next one would be lower than the last.
        }
        throw new IllegalArgumentException(file + " line 1: '" + text.lines().findFirst().orElse("")
                + "' is no epoch; right would be a whole number that is greater than any epoch of this source before");
    }
}
