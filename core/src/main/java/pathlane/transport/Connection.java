package pathlane.transport;

import java.util.List;
import pathlane.core.CloseReason;

/** What a protocol's state machine can do with its connection. On the loop's thread; nothing blocks. */
public interface Connection {

    /** What became of a message whose write was to be cancelled. */
    enum Withdrawal {
        /** Not a byte of it has left, and none will. */
        WITHDRAWN,
        /** Not a byte of it has left, but it can't be kept back any more unless the connection is broken off. */
        BOUND,
        /** Some of it has left, or all. */
        LEFT
    }

    /** Writes a message; it leaves at the end of the turn, or when what is before it has left. */
    void write(byte[] bytes);

    /** Has what was written leave now, not at the end of the turn. */
    default void flush() {}

    /**
     * Takes back a message, so that a request that nobody waits for any more does not reach its server.
     *
     * @param bytes the very array that was given to {@link #write}
     */
    default Withdrawal cancelWrite(byte[] bytes) {
        return Withdrawal.LEFT;
    }

    /** Whether what was written before this turn has yet to leave, since the other side does not read. */
    default boolean isBlocked() {
        return false;
    }

    /**
     * Closes it once all that was written has left; nothing more is received on it, and {@link Protocol#closed} follows with
     * this reason.
     */
    void close(CloseReason reason);

    /**
     * Closes it in order: what was written leaves, then the end of this side, and what the other side had written before it
     * saw that is still received. {@link Protocol#closed} follows, when the other side has closed too or has not in time.
     */
    default void finish(CloseReason reason) {
        close(reason);
    }

    /** Breaks it off: what has not left yet never does. {@link Protocol#closed} follows with this reason. */
    default void abort(CloseReason reason) {
        close(reason);
    }

    /**
     * What was written and has not left whole, in the order in which it was written. Asked when the connection has ended:
     * the other side has not received it.
     */
    default List<byte[]> unsentMessages() {
        return List.of();
    }

    /** The other side's address, for log lines. */
    String remote();
}
