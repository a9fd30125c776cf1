package pathlane.discovery;

/** Receives the events of a watch client, on the event loop's thread. A change counts as applied when the call returns. */
public interface WatchListener {

    /** A watched service has a new state. The change describes the difference from the previous state. */
    void changed(ServiceState state, ServiceChange change);

    /** The service does not exist, or was removed together with its endpoints. */
    void absent(String service, Revision revision);

    /** The current publisher's status. While the client is disconnected, the last state stays in use. */
    void status(PublisherStatus status);

    /** All changes of the watch up to this revision are applied now. */
    default void inForce(Revision revision) {}

    /** The connection to the publisher that had accepted the watch was lost; the last state stays in use. */
    default void disconnected() {}
}
