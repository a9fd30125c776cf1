package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;

/**
 * Judges whether a server without a connection is still there, and tells the controller when the calls that stand at it
 * count as cut.
 */
final class Reachability {

    private static final Logger LOG = System.getLogger("servers");
    /** Dials that timed out in a row after which the calls count as cut: they can't be released any more. */
    private static final int MOST_FAILED_DIALS = 2;

    private final ServerLinkContext context;
    private final long server;
    private final String name;
    /** Dials that timed out since a connection was last up. */
    private int failedDials;
    /** Whether the server ended the last connection that was up, as it does when its process stops or dies. */
    private boolean leftByServer;
    /** Runs while no connection is up after one was lost. */
    private Scheduler.Timer unreachable;

    Reachability(ServerLinkContext context, long server, String name) {
        this.context = context;
        this.server = server;
        this.name = name;
    }

    /** A connection is up. */
    void reached() {
        failedDials = 0;
        stop();
    }

    /** A connection that was up has ended; {@code isLast} where no other is up. */
    void lost(CloseReason end, boolean isLast) {
        leftByServer = end == CloseReason.RESET || end == CloseReason.CLOSED_BY_PEER;
        if (isLast && unreachable == null) {
            unreachable = context.scheduler().after(context.limits().unreached(), this::unreachable);
        }
    }

    /**
     * Guards calls that stand at a server that takes no connection any more, since it drains, and whose last one was lost
     * by no doing of its own: their ends can't be told, and the list may say too late that it has gone. A caller is owed
     * the end of its call within 8 s of it, and none can have come before the connection was lost.
     */
    private void unreachable() {
        unreachable = null;
        if (context.controller().get().hasEstablishedCallsAt(server)) {
            LOG.log(Level.WARNING, "server {0} could not be reached for {1} ms: its calls count as cut", name,
                    Long.toString(context.limits().unreached().toMillis()));
            context.controller().get().serverLost(server, false);
        }
    }

    /**
     * The last connection that was up or dialled has ended. Guards against calls that stood at a process that stopped or
     * died: nobody is left to release them, and the list may say so too late.
     */
    void allEnded(CloseReason end, boolean draining) {
        if (end == CloseReason.CONNECT_TIMED_OUT) {
            failedDials++;
        }
        boolean isCertain = end.provesProcessGone() && (!draining || leftByServer);
        if (isCertain || failedDials >= MOST_FAILED_DIALS) {
            context.controller().get().serverLost(server, isCertain);
        }
    }

    /** Stops the timer: the server has been reached, or has gone from the list. */
    void stop() {
        if (unreachable != null) {
            unreachable.cancel();
            unreachable = null;
        }
    }
}
