package pathlane.discovery;

import pathlane.core.CloseReason;

/** A publisher's way to one subscriber. On the loop's thread. */
public interface SubscriberPort {

    /** The subscriber's name, as its connection has shown it. */
    String name();

    /** Sends a message as {@link WatchCodec} writes it. The array is shared with other ports and is not changed. */
    void send(byte[] message);

    /** Whether what was sent earlier has yet to leave, since the subscriber does not read. */
    boolean isBlocked();

    /** Closes the connection once all that was sent has left; {@link Publisher.Session#closed} follows. */
    void close(CloseReason reason);
}
