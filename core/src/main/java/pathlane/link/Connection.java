package pathlane.link;

import pathlane.core.ConnectionEnd;

/** What a state machine can do with its connection. */
public interface Connection {

    void write(byte[] bytes);

    /** Whether what was written before this turn has yet to leave, since the other side does not read. */
    default boolean isStuck() {
        return false;
    }

    /** Closes it once all that was written has left; {@link Protocol#closed} follows with this end. */
    void close(ConnectionEnd why);

    /** The other side's address, for log lines. */
    String remote();
}
