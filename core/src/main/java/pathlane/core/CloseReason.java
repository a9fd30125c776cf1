package pathlane.core;

import pathlane.decision.Outcome;

/** The reasons for which a connection ends, and the outcome of a request that was completely written to it. */
public enum CloseReason {

    /** The connection was refused: no request was executed. */
    REFUSED(Outcome.UNREACHABLE),
    /** The connection did not open in time: no request was executed. */
    CONNECT_TIMED_OUT(Outcome.UNREACHABLE),
    /** No attempt to connect was possible, for lack of a file descriptor or a route: no request was executed. */
    NOT_ATTEMPTED(Outcome.UNREACHABLE),
    /** The peer closed the connection in an orderly way. */
    CLOSED_BY_PEER(Outcome.RESET),
    /** The connection was reset: the peer's process died, or the network failed. */
    RESET(Outcome.RESET),
    /** The peer sent data that can't be parsed. */
    PROTOCOL_ERROR(Outcome.RESET),
    /** The peer stopped reading, and the unsent data exceeded the limit. */
    OVERFLOW(Outcome.RESET),
    /** Closed locally: the connection was unused for the idle timeout. */
    IDLE(Outcome.RESET),
    /** Closed locally: nothing was received for too long. */
    SILENT(Outcome.RESET),
    /** Closed locally: a message was started and not completed in time. */
    UNFINISHED(Outcome.RESET),
    /** Closed locally: the peer answered later requests on another connection, but not those on this one. */
    OVERTAKEN(Outcome.CANCELLED),
    /** Closed locally at once: the connection limit was reached, and all other connections had open calls. */
    LIMIT_REACHED(Outcome.UNREACHABLE),
    /** Closed locally: the connection was idle, and another one needed its file descriptor. */
    EVICTED(Outcome.RESET),
    /** Closed locally: watchdog requests stayed unanswered. */
    WATCHDOG_LOST(Outcome.RESET),
    /** The peers agreed to disconnect. */
    DISCONNECTED(Outcome.RESET),
    /** Closed locally: the server was removed from the server list. */
    DELISTED(Outcome.RESET),
    /** Closed locally: this process is shutting down. */
    SHUTDOWN(Outcome.RESET),
    /** Closed locally: the reloaded configuration names another address. */
    REPLACED(Outcome.RESET);

    private final Outcome outcome;

    CloseReason(Outcome outcome) {
        this.outcome = outcome;
    }

    /** Returns the outcome of an attempt that was in flight on the connection. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns whether the connection was healthy and was closed locally because it was no longer needed. */
    public boolean isVoluntary() {
        return this == IDLE || this == EVICTED;
    }

    /** Returns whether this proves that the peer's process is not running, unless the peer is known to be draining. */
    public boolean provesProcessGone() {
        return this == REFUSED;
    }
}
