package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.wire.BadInput;

/** What is under way to one subscriber and not acknowledged: bounded in bytes, and in time. */
final class SendWindow {

    private record Batch(long number, int bytes) {}

    private final int maxBytes;
    private final Duration acknowledgeTimeout;
    private final Deque<Batch> pendingBatches = new ArrayDeque<>();
    private long lastBatch;
    private int pendingBytes;
    private boolean isBookmarkPending;
    /** The last acknowledgement, or when something was sent after nothing had been under way. */
    private Instant progressAt = Instant.MIN;

    SendWindow(int maxBytes, Duration acknowledgeTimeout) {
        this.maxBytes = maxBytes;
        this.acknowledgeTimeout = acknowledgeTimeout;
    }

    /** Whether so many bytes may be sent. One change always may while nothing is under way, however large it is. */
    boolean hasRoom(int size) {
        return pendingBytes == 0 || pendingBytes + size <= maxBytes;
    }

    /** Bytes of the next update if it takes all the room there is. */
    int availableBytes() {
        return Math.max(0, maxBytes - pendingBytes);
    }

    /** The number of the update that is about to be sent. */
    long sentUpdate(int size, Instant now) {
        startTimeoutIfIdle(now);
        lastBatch++;
        pendingBatches.add(new Batch(lastBatch, size));
        pendingBytes += size;
        return lastBatch;
    }

    void sentBookmark(Instant now) {
        startTimeoutIfIdle(now);
        isBookmarkPending = true;
    }

    private void startTimeoutIfIdle(Instant now) {
        if (!isAwaitingAcknowledgement()) {
            progressAt = now;
        }
    }

    private boolean isAwaitingAcknowledgement() {
        return !pendingBatches.isEmpty() || isBookmarkPending;
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
            isBookmarkPending = false;
        }
        while (!pendingBatches.isEmpty() && pendingBatches.peek().number() <= batch) {
            pendingBytes -= pendingBatches.remove().bytes();
        }
    }

    /** The time of an own stall does not count. */
    void excludeStall(Duration stall) {
        progressAt = progressAt.plus(stall);
    }

    /** Whether something is under way and nothing was acknowledged for too long. */
    boolean isTimedOut(Instant now) {
        return isAwaitingAcknowledgement() && Duration.between(progressAt, now).compareTo(acknowledgeTimeout) >= 0;
    }
}
