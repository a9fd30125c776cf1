package pathlane.decision;

/**
 * How an attempt, or an established call, ended. The order is that of the numbers under which outcomes go between call
 * controllers of a group: a new one goes last.
 */
public enum Outcome {
    /** The call was established and has ended. */
    COMPLETED,
    /** An error on the way. */
    ERROR,
    /** The destination is busy, whichever server asks it. */
    BUSY,
    /** The server rejected the request; it never ran. */
    REJECTED,
    /** The server had no free slot; the request never ran. */
    NO_CAPACITY,
    /** No answer came in time. */
    TIMED_OUT,
    /** The server could not be reached; the request never ran. */
    UNREACHABLE,
    /** The attempt or the established call was cut. */
    RESET,
    /** The attempt was cancelled by this side. */
    CANCELLED,
    /** Nothing was sent. */
    NOT_SENT;

    /** Whether the server turned the request away: it is there, and the request never ran. */
    public boolean isRejection() {
        return this == REJECTED || this == NO_CAPACITY;
    }

    /** Whether the attempt's end was not heard from its server: its release is awaited before the next attempt. */
    public boolean isLost() {
        return this == TIMED_OUT || this == RESET || this == CANCELLED;
    }

    /** Whether the server may have acted on the request. */
    public boolean mayHaveRun() {
        return !isRejection() && this != UNREACHABLE && this != NOT_SENT;
    }
}
