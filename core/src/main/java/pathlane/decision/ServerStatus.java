package pathlane.decision;

/** Whether a session server accepts new requests. */
public enum ServerStatus {
    /** The server accepts new requests. */
    RUNNING,
    /** The server completes its established calls and accepts no new requests. */
    DRAINING,
    /** The server no longer exists. */
    GONE
}
