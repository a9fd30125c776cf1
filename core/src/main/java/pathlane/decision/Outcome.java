package pathlane.decision;

/**
 * How an attempt, or an established call, ended. Call controllers of a group exchange outcomes by ordinal, so new constants
 * are only appended.
 */
public enum Outcome {
    /** The call was established and has ended. */
    COMPLETED,
    /** The server or the transport reported an error. */
    ERROR,
    /** The destination is busy; any other server would get the same answer. */
    BUSY,
    /** The server rejected the request without running it. */
    REJECTED,
    /** The server had no free slot; the request never ran. */
    NO_CAPACITY,
    /** No answer arrived in time. */
    TIMED_OUT,
    /** The server could not be reached; the request never ran. */
    UNREACHABLE,
    /** The connection that carried the attempt or the established call was lost. */
    RESET,
    /** This controller cancelled the attempt. */
    CANCELLED,
    /** Nothing was sent. */
    NOT_SENT;

    /** Whether the server is reachable but rejected the request, so that it never ran. */
    public boolean isRejection() {
        return this == REJECTED || this == NO_CAPACITY;
    }

    /**
     * Whether the attempt ended without an answer from its server, which may therefore still hold it: the next attempt waits
     * until the server has released this one.
     */
    public boolean isLost() {
        return this == TIMED_OUT || this == RESET || this == CANCELLED;
    }

    /** Whether the server may have acted on the request. */
    public boolean mayHaveRun() {
        return !isRejection() && this != UNREACHABLE && this != NOT_SENT;
    }
}
