package pathlane.discovery;

/** What a watch client tells its user. On the loop's thread; the user has applied a change once the call returns. */
public interface WatchListener {

    /** A watched service has a new state in force. The change says what differs from the state before. */
    void changed(ServiceState state, ServiceChange change);

    /** The catalogue has no such service, or no longer; its endpoints are gone. */
    void absent(String service, Revision revision);

    /** What the current publisher says of itself; unconnected clients keep the last state in force. */
    void status(PublisherStatus status);

    /** Everything that the watch concerns up to this revision is in force now. */
    default void inForce(Revision revision) {}

    /** The connection to the publisher that had accepted the watch is lost; the last state stays in force. */
    default void disconnected() {}
}
