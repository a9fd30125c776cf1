package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.wire.BadInput;

/** What is under way to one subscriber and not acknowledged: bounded in bytes, and in time. */
final class SendWindow {

    private record Batch(long number, int bytes) { }

    private final int mostBytes;
    private final Duration deadAfter;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private long lastBatch;
    private int bytes;
    private boolean bookmarkUnderWay;
    /** The last acknowledgement, or when something was sent after nothing had been under way. */
    private Instant progressAt = Instant.MIN;

    SendWindow(int mostBytes, Duration deadAfter) {
        this.mostBytes = mostBytes;
        this.deadAfter = deadAfter;
    }

    /** Whether so many bytes may be sent. One change always may while nothing is under way, however large it is. */
    boolean hasRoom(int more) {
        return bytes == 0 || bytes + more <= mostBytes;
    }

    /** Bytes of the next update if it takes all the room there is. */
    int room() {
        return Math.max(0, mostBytes - bytes);
    }

    /** The number of the update that is about to be sent. */
    long sentUpdate(int size, Instant now) {
        begin(now);
        lastBatch++;
        batches.add(new Batch(lastBatch, size));
        bytes += size;
        return lastBatch;
    }

    void sentBookmark(Instant now) {
        begin(now);
        bookmarkUnderWay = true;
    }

    private void begin(Instant now) {
        if (!isUnderWay()) {
            progressAt = now;
        }
    }

    private boolean isUnderWay() {
        return !batches.isEmpty() || bookmarkUnderWay;
    }

    /**
     * The subscriber has acknowledged a batch and all before it, or a bookmark.
     *
     * @param batch the number of the update, 0 for a bookmark
     * @throws BadInput where no such batch was sent
     */
    void acknowledged(long batch, Instant now) {
        if (batch > lastBatch) {
            throw new BadInput("batch " + batch + " is acknowledged, and " + lastBatch + " was the last one sent");
        }
        progressAt = now;
        if (batch == 0) {
            bookmarkUnderWay = false;
        }
        while (!batches.isEmpty() && batches.peek().number() <= batch) {
            bytes -= batches.remove().bytes();
        }
    }

    /** The time of an own stall does not count. */
    void excludeStall(Duration stall) {
        progressAt = progressAt.plus(stall);
    }

    /** Whether something is under way and nothing was acknowledged for too long. */
    boolean isDead(Instant now) {
        return isUnderWay() && Duration.between(progressAt, now).compareTo(deadAfter) >= 0;
    }
}
