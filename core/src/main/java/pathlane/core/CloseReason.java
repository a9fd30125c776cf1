package pathlane.core;

import pathlane.decision.Outcome;

/** Every way in which a connection can end, and what that means for a request that it had taken whole. */
public enum CloseReason {

    /** Nobody listens there: nothing ran. */
    REFUSED(Outcome.UNREACHABLE),
    /** It did not come up in time: nothing ran. */
    CONNECT_TIMED_OUT(Outcome.UNREACHABLE),
    /** It could not be tried, for want of a descriptor or a route: nothing ran. */
    NOT_ATTEMPTED(Outcome.UNREACHABLE),
    /** The other side closed it in order. */
    CLOSED_BY_PEER(Outcome.RESET),
    /** It broke: the other side's process died, or the path did. */
    RESET(Outcome.RESET),
    /** The other side sent what can't be read. */
    PROTOCOL_ERROR(Outcome.RESET),
    /** The other side stopped reading and more waits to be written than is allowed. */
    OVERFLOW(Outcome.RESET),
    /** This side closed it: nothing was on it for long enough. */
    IDLE(Outcome.RESET),
    /** This side closed it: nothing was received on it for too long. */
    SILENT(Outcome.RESET),
    /** This side closed it: a message was begun on it and not ended in time. */
    UNFINISHED(Outcome.RESET),
    /** This side closed it: the other side answered on another connection what was sent after what is out on this one. */
    OVERTAKEN(Outcome.CANCELLED),
    /** This side closed it at once: as many are open as may be, and calls are open on all of them. */
    LIMIT_REACHED(Outcome.UNREACHABLE),
    /** This side closed it: it was idle, and another connection needed its descriptor. */
    EVICTED(Outcome.RESET),
    /** This side closed it: its watchdogs stayed unanswered. */
    WATCHDOG_LOST(Outcome.RESET),
    /** The peers agreed to disconnect. */
    DISCONNECTED(Outcome.RESET),
    /** This side closed it: the server has gone from the list. */
    DELISTED(Outcome.RESET),
    /** This side closed it: this program shuts down. */
    SHUTDOWN(Outcome.RESET),
    /** This side closed it: the configuration that was read again names another address. */
    REPLACED(Outcome.RESET);

    private final Outcome outcome;

    CloseReason(Outcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome of an attempt that this end broke off. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether nothing was wrong with the connection: it was closed here since it was not needed any more. */
    public boolean isVoluntary() {
        return this == IDLE || this == EVICTED;
    }

    /** Whether the other side's process has shown that it isn't there, unless it is known to drain. */
    public boolean provesProcessGone() {
        return this == REFUSED;
    }
}
