package pathlane.transport;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.Optional;
import pathlane.core.CloseReason;

/**
 * A protocol's state machine for one connection. It processes bytes without using a socket; a driver supplies them, on the
 * event loop's thread.
 */
public interface Protocol {

    /** Called when the connection is open. */
    void opened(Connection connection);

    /** Called with received bytes, in chunks of any size. */
    void received(ByteBuffer bytes);

    /**
     * Returns since when the connection has been idle without open calls, so that it may be evicted to free a file
     * descriptor; empty while it may not be evicted.
     */
    default Optional<Instant> idleSince() {
        return Optional.empty();
    }

    /** Called once, as the last method, when the connection has ended or failed to open. */
    void closed(CloseReason reason);
}
