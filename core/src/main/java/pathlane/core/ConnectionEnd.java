package pathlane.core;

import pathlane.decision.Gateway.Ending;

/** Every way in which a connection can end, and what that means for a set-up it had taken whole. */
public enum ConnectionEnd {
    /** Nobody listens there: nothing ran. */
    REFUSED(Ending.UNREACHABLE),
    /** It did not come up in time: nothing ran. */
    DIAL_TIMED_OUT(Ending.UNREACHABLE),
    /** It could not be tried, for want of a descriptor or a route: nothing ran. */
    NOT_DIALLED(Ending.UNREACHABLE),
    /** The other side closed it in order. */
    CLOSED_BY_PEER(Ending.RESET),
    /** It broke: the other side's process died, or the path did. */
    RESET(Ending.RESET),
    /** The other side sent what can't be read. */
    BAD_INPUT(Ending.RESET),
    /** The other side stopped reading and more waits to be written than is allowed. */
    OVERFLOW(Ending.RESET),
    /** We closed it: nothing was on it for long enough. */
    IDLE(Ending.RESET),
    /** We closed it: nothing was heard on it for too long. */
    SILENT(Ending.RESET),
    /** We closed it: a message was begun on it and not ended in time. */
    UNFINISHED(Ending.RESET),
    /** We closed it: the other side answered on another connection what was sent after what is out on this one. */
    OVERTAKEN(Ending.CANCELLED),
    /** We closed it at once: as many are open as may be, and calls are open on all of them. */
    TURNED_AWAY(Ending.UNREACHABLE),
    /** We closed it: it was idle, and another connection needed its descriptor. */
    GAVE_WAY(Ending.RESET),
    /** We closed it: its watchdogs stayed unanswered. */
    WATCHDOG_LOST(Ending.RESET),
    /** The peers agreed to part. */
    DISCONNECTED(Ending.RESET),
    /** We closed it: the server has gone from the list. */
    DELISTED(Ending.RESET),
    /** We closed it: this program ends. */
    ENDED(Ending.RESET),
    /** We closed it: the configuration that was read again names another address. */
    REPLACED(Ending.RESET);

    private final Ending outcome;

    ConnectionEnd(Ending outcome) {
        this.outcome = outcome;
    }

    /** The module's outcome for an attempt that this end broke off. */
    public Ending outcome() {
        return outcome;
    }

    /** Whether nothing was wrong with the connection: it was closed here since it was not needed any more. */
    public boolean isUnneeded() {
        return this == IDLE || this == GAVE_WAY;
    }

    /** Whether the other side's process has shown that it isn't there, unless it is known to drain. */
    public boolean provesProcessGone() {
        return this == REFUSED;
    }
}
