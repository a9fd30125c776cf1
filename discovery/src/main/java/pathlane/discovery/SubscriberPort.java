package pathlane.discovery;

import pathlane.core.CloseReason;

/** A publisher's connection to one subscriber. Used on the event loop's thread. */
public interface SubscriberPort {

    /** The subscriber's name, as authenticated by its connection. */
    String name();

    /** Sends a message encoded by {@link WatchCodec}. The array is shared with other ports and must not be modified. */
    void send(byte[] message);

    /** Whether earlier messages are still buffered because the subscriber does not read. */
    boolean isBlocked();

    /** Closes the connection once all messages sent have been written; {@link Publisher.Session#closed} follows. */
    void close(CloseReason reason);
}
