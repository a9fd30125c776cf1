package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.wire.ProtocolException;

/** The messages sent to one subscriber and not yet acknowledged: limited in bytes and in time. */
final class SendWindow {

    private record Batch(long number, int bytes) {}

    private final int maxBytes;
    private final Duration acknowledgeTimeout;
    private final Deque<Batch> pendingBatches = new ArrayDeque<>();
    private long lastBatch;
    private int pendingBytes;
    private boolean isBookmarkPending;
    /** When the last acknowledgement arrived, or when a message was sent while none was unacknowledged. */
    private Instant progressAt = Instant.MIN;

    SendWindow(int maxBytes, Duration acknowledgeTimeout) {
        this.maxBytes = maxBytes;
        this.acknowledgeTimeout = acknowledgeTimeout;
    }

    /**
     * Whether an update of this size may be sent. While no update is unacknowledged, one change of any size may be sent.
     */
    boolean hasRoom(int size) {
        return pendingBytes == 0 || pendingBytes + size <= maxBytes;
    }

    /** Bytes left in the window for the next update. */
    int availableBytes() {
        return Math.max(0, maxBytes - pendingBytes);
    }

    /** Records an update that is about to be sent, and returns its number. */
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
     * Handles the acknowledgement of a bookmark, or of an update and all updates before it.
     *
     * @param batch the number of the update, 0 for a bookmark
     * @throws ProtocolException if no such update was sent
     */
    void acknowledged(long batch, Instant now) {
        if (batch > lastBatch) {
            throw new ProtocolException("batch " + batch + " was acknowledged, but " + lastBatch + " was the last one sent");
        }
        progressAt = now;
        if (batch == 0) {
            isBookmarkPending = false;
        }
        while (!pendingBatches.isEmpty() && pendingBatches.peek().number() <= batch) {
            pendingBytes -= pendingBatches.remove().bytes();
        }
    }

    /** Extends the timeout by a stall of this process. */
    void excludeStall(Duration stall) {
        progressAt = progressAt.plus(stall);
    }

    /** Whether messages are unacknowledged and no acknowledgement arrived within the timeout. */
    boolean isTimedOut(Instant now) {
        return isAwaitingAcknowledgement() && Duration.between(progressAt, now).compareTo(acknowledgeTimeout) >= 0;
    }
}
