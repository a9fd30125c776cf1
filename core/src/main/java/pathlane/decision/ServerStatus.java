package pathlane.decision;

/** Whether a session server takes new requests. */
public enum ServerStatus {
    /** It takes new requests. */
    RUNNING,
    /** It goes on with what it has and takes nothing new. */
    DRAINING,
    /** It has gone. */
    GONE
}
