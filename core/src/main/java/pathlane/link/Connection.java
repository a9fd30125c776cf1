package pathlane.link;

import java.util.List;
import pathlane.core.ConnectionEnd;

/** What a state machine can do with its connection. On the loop's thread. */
public interface Connection {

    /** What became of a message that was to be taken back. */
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
     * Takes back a message, so that a set-up that nobody waits for any more does not reach its server.
     *
     * @param bytes the very array that was given to {@link #write}
     */
    default Withdrawal withdraw(byte[] bytes) {
        return Withdrawal.LEFT;
    }

    /** Whether what was written before this turn has yet to leave, since the other side does not read. */
    default boolean isStuck() {
        return false;
    }

    /**
     * Closes it once all that was written has left; nothing more is heard on it, and {@link Protocol#closed} follows with
     * this end.
     */
    void close(ConnectionEnd why);

    /**
     * Closes it in order: what was written leaves, then the end of this side, and what the other side had written before it
     * saw that is still heard. {@link Protocol#closed} follows, when the other side has closed too or has not in time.
     */
    default void finish(ConnectionEnd why) {
        close(why);
    }

    /** Breaks it off: what has not left yet never does. {@link Protocol#closed} follows with this end. */
    default void abort(ConnectionEnd why) {
        close(why);
    }

    /**
     * What was written and has not left whole, in the order in which it was written. Asked when the connection has ended:
     * the other side has not heard it.
     */
    default List<byte[]> unsent() {
        return List.of();
    }

    /** The other side's address, for log lines. */
    String remote();
}
