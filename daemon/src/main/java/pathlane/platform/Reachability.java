package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;

/**
 * Decides whether a server without a connection still exists, and notifies the controller when the calls established at it
 * are to be treated as lost.
 */
final class Reachability {

    private static final Logger LOG = System.getLogger("servers");
    /** Consecutive connect timeouts after which the server's calls are treated as lost: they can't be released any more. */
    private static final int MAX_CONNECT_TIMEOUTS = 2;

    private final ServerLinkContext context;
    private final long serverId;
    private final String name;
    /** Connect timeouts since a connection was last open. */
    private int connectTimeouts;
    /** Whether the server closed the last open connection, as it does when its process stops or crashes. */
    private boolean wasClosedByServer;
    /** Runs while no connection is open after one was lost. */
    private Scheduler.Timer unreachableTimer;

    Reachability(ServerLinkContext context, long serverId, String name) {
        this.context = context;
        this.serverId = serverId;
        this.name = name;
    }

    /** A connection has opened. */
    void connected() {
        connectTimeouts = 0;
        stop();
    }

    /** An open connection has ended; {@code isLast} if no other is open. */
    void connectionLost(CloseReason reason, boolean isLast) {
        wasClosedByServer = reason == CloseReason.RESET || reason == CloseReason.CLOSED_BY_PEER;
        if (isLast && unreachableTimer == null) {
            unreachableTimer = context.scheduler().after(context.limits().unreachableTimeout(), this::handleUnreachable);
        }
    }

    /**
     * Treats the calls at an unreachable server as lost. This covers a server that accepts no connection any more, since it
     * drains, and whose last connection was broken by the network: it can't report the ends of its calls, and the server
     * list may report its removal too late. A client must receive the end of its call within 8 s, and no call can have ended
     * unreported before the connection was lost.
     */
    private void handleUnreachable() {
        unreachableTimer = null;
        if (context.controller().get().hasEstablishedCallsAt(serverId)) {
            LOG.log(Level.WARNING, "server {0} has been unreachable for {1} ms: its calls are treated as lost", name,
                    Long.toString(context.limits().unreachableTimeout().toMillis()));
            context.controller().get().serverLost(serverId, false);
        }
    }

    /**
     * The last connection, open or connecting, has ended. If the server's process has stopped or crashed, nothing is left
     * there to release its calls, and the server list may report it too late: its calls are treated as lost.
     */
    void allClosed(CloseReason reason, boolean isDraining) {
        if (reason == CloseReason.CONNECT_TIMED_OUT) {
            connectTimeouts++;
        }
        boolean isCertain = reason.provesProcessGone() && (!isDraining || wasClosedByServer);
        if (isCertain || connectTimeouts >= MAX_CONNECT_TIMEOUTS) {
            context.controller().get().serverLost(serverId, isCertain);
        }
    }

    /** Stops the timer: the server has been reached, or was removed from the list. */
    void stop() {
        if (unreachableTimer != null) {
            unreachableTimer.cancel();
            unreachableTimer = null;
        }
    }
}
