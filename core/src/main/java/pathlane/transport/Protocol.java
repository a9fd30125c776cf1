package pathlane.transport;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.Optional;
import pathlane.core.CloseReason;

/**
 * A protocol's state machine for one connection. It is fed bytes and knows no socket; a driver feeds it, on the event loop's
 * thread.
 */
public interface Protocol {

    /** The connection is up. */
    void opened(Connection connection);

    /** Bytes came, in pieces of any size. */
    void received(ByteBuffer bytes);

    /**
     * Since when nothing has been done here and nothing is open, so that the connection may be evicted for want of
     * descriptors; empty while it may not.
     */
    default Optional<Instant> idleSince() {
        return Optional.empty();
    }

    /** The connection has ended or never came up; called once, and last. */
    void closed(CloseReason reason);
}
