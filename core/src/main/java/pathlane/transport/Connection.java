package pathlane.transport;

import java.util.List;
import pathlane.core.CloseReason;

/** The operations of a connection for its protocol's state machine. Runs on the event loop's thread; nothing blocks. */
public interface Connection {

    /** The result of cancelling the write of a message. */
    enum CancelResult {
        /** No byte of it was sent, and none will be. */
        CANCELLED,
        /** No byte of it was sent, but sending it can only be prevented by aborting the connection. */
        COMMITTED,
        /** It was sent, in part or completely. */
        SENT
    }

    /** Writes a message, which is sent at the end of the loop iteration, or after earlier messages have been sent. */
    void write(byte[] bytes);

    /** Sends written messages now instead of at the end of the loop iteration. */
    default void flush() {}

    /**
     * Cancels the write of a message, so that a request that is no longer needed does not reach its server.
     *
     * @param bytes the same array object that was passed to {@link #write}
     */
    default CancelResult cancelWrite(byte[] bytes) {
        return CancelResult.SENT;
    }

    /** Returns whether messages from before this loop iteration are still unsent because the peer does not read. */
    default boolean isBlocked() {
        return false;
    }

    /**
     * Closes the connection once everything written has been sent; nothing more is received on it, and
     * {@link Protocol#closed} follows with this reason.
     */
    void close(CloseReason reason);

    /**
     * Half-closes the connection: everything written is sent, then this side is shut down, and what the peer wrote before it
     * noticed is still received. {@link Protocol#closed} follows when the peer has closed too, or after a timeout.
     */
    default void halfClose(CloseReason reason) {
        close(reason);
    }

    /** Aborts the connection and discards unsent data. {@link Protocol#closed} follows with this reason. */
    default void abort(CloseReason reason) {
        close(reason);
    }

    /**
     * Returns the messages that were not completely sent, in the order in which they were written. Called after the
     * connection has ended: the peer has not received them.
     */
    default List<byte[]> unsentMessages() {
        return List.of();
    }

    /** Returns the peer's address, for log lines. */
    String remote();
}
