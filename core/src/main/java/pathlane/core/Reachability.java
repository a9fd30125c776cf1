package pathlane.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Decides whether a server without a connection still exists, and notifies the controller when the calls established at it
 * are to be treated as lost. Each front reports its connections here. Runs on the event loop's thread.
 */
public final class Reachability {

    private static final Logger LOG = System.getLogger("servers");
    /** Consecutive connect timeouts after which the server's calls are treated as lost: they can't be released any more. */
    private static final int MAX_CONNECT_TIMEOUTS = 2;

    private final Supplier<CallController> controller;
    private final Scheduler scheduler;
    private final long serverId;
    private final String name;
    private final Duration unreachableTimeout;
    private final boolean callsMayOutliveProcess;
    /** Connect timeouts since a connection was last open. */
    private int connectTimeouts;
    /** Whether the server closed the last open connection, as it does when its process stops or crashes. */
    private boolean wasClosedByServer;
    /** Runs while no connection is open after one was lost. */
    private Scheduler.Timer unreachableTimer;

    /**
     * Creates the state of a server that has not been connected to yet.
     *
     * @param controller supplied lazily, since the controller itself creates the ports of its servers
     * @param name the server's name in log lines
     * @param unreachableTimeout how long a server may be without a connection before its calls are treated as lost
     * @param callsMayOutliveProcess whether the server may keep its calls in a store, so that they have to be released there
     *        although its process is gone
     */
    public Reachability(Supplier<CallController> controller, Scheduler scheduler, long serverId, String name,
            Duration unreachableTimeout, boolean callsMayOutliveProcess) {
        this.controller = controller;
        this.scheduler = scheduler;
        this.serverId = serverId;
        this.name = name;
        this.unreachableTimeout = unreachableTimeout;
        this.callsMayOutliveProcess = callsMayOutliveProcess;
    }

    /** A connection has opened. */
    public void connected() {
        connectTimeouts = 0;
        stop();
    }

    /** An open connection has ended; {@code isLast} if no other is open. */
    public void connectionLost(CloseReason reason, boolean isLast) {
        wasClosedByServer = reason == CloseReason.RESET || reason == CloseReason.CLOSED_BY_PEER;
        if (isLast && unreachableTimer == null) {
            unreachableTimer = scheduler.after(unreachableTimeout, this::handleUnreachable);
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
        if (controller.get().hasEstablishedCallsAt(serverId)) {
            LOG.log(Level.WARNING, "server {0} has been unreachable for {1} ms: its calls are treated as lost", name,
                    Long.toString(unreachableTimeout.toMillis()));
            controller.get().serverLost(serverId, false);
        }
    }

    /**
     * The last connection, open or connecting, has ended. If the server's process has stopped or crashed, nothing is left
     * there to release its calls, and the server list may report it too late: its calls are treated as lost.
     *
     * @param isDraining whether the server refuses new connections while its process runs
     */
    public void allClosed(CloseReason reason, boolean isDraining) {
        if (reason == CloseReason.CONNECT_TIMED_OUT) {
            connectTimeouts++;
        }
        boolean isProcessGone = reason.provesProcessGone() && (!isDraining || wasClosedByServer);
        if (isProcessGone || connectTimeouts >= MAX_CONNECT_TIMEOUTS) {
            controller.get().serverLost(serverId, isProcessGone && !callsMayOutliveProcess);
        }
    }

    /** Stops the timer: the server has been reached, or was removed from the list. */
    public void stop() {
        if (unreachableTimer != null) {
            unreachableTimer.cancel();
            unreachableTimer = null;
        }
    }
}
