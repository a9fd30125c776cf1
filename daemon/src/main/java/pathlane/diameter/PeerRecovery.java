package pathlane.diameter;

import java.util.OptionalInt;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.config.file.ServerLimits;
import pathlane.core.CallController;
import pathlane.core.CloseReason;
import pathlane.core.Reachability;
import pathlane.core.Scheduler;
import pathlane.transport.ReconnectBackoff;

/**
 * What follows the loss of the connection to a server peer: reconnects sooner than the watchdog does while sessions depend
 * on it, and detects that the peer has lost its sessions or is gone with them. On the loop's thread.
 */
final class PeerRecovery {

    private final Scheduler scheduler;
    private final Runnable reconnect;
    private final Reachability reachability;
    private final ReconnectBackoff backoff;
    private Scheduler.Timer reconnectTimer;
    /** Whether the capabilities have been exchanged on the current connection. */
    private boolean isExchanged;
    /** Whether the peer announced the end of the last connection: it may refuse new ones while it keeps its sessions. */
    private boolean hasAnnouncedDisconnect;
    private OptionalInt originStateId = OptionalInt.empty();
    private boolean isStopped;

    /** {@code reconnect} opens a connection unless one is open or being opened. */
    PeerRecovery(DiameterConfig.Peer peer, Supplier<CallController> controller, Scheduler scheduler,
            RandomGenerator random, Runnable reconnect) {
        this.scheduler = scheduler;
        this.reconnect = reconnect;
        // A Diameter server may keep its sessions in a store, which this node can't know: they are terminated there as well.
        this.reachability = new Reachability(controller, scheduler, peer.id(), peer.host(),
                ServerLimits.DEFAULT.unreachableTimeout(), true);
        this.backoff = new ReconnectBackoff(random);
    }

    /**
     * The capabilities have been exchanged on a new connection.
     *
     * @return whether the peer's Origin-State-Id shows that it has lost its sessions (RFC 6733, section 8.16)
     */
    boolean opened(OptionalInt announcedState) {
        isExchanged = true;
        hasAnnouncedDisconnect = false;
        backoff.reset();
        cancelReconnect();
        reachability.connected();
        boolean hasLostState = announcedState.isPresent() && originStateId.isPresent()
                && Integer.compareUnsigned(announcedState.getAsInt(), originStateId.getAsInt()) > 0;
        originStateId = announcedState.isPresent() ? announcedState : originStateId;
        return hasLostState;
    }

    /** The connection has ended or could not be opened. The calls of a peer that is gone are reported as lost. */
    void closed(CloseReason reason) {
        if (isStopped) {
            return;
        }
        if (isExchanged) {
            isExchanged = false;
            hasAnnouncedDisconnect = reason == CloseReason.DISCONNECTED;
            reachability.connectionLost(reason, true);
        }
        reachability.allClosed(reason, hasAnnouncedDisconnect);
    }

    /**
     * Reconnects soon, although the watchdog does so at its next interval, which may take 30 s: sessions are established at
     * the peer or are to be terminated there, and their clients must be notified within 8 s if the peer is gone. A peer that
     * has announced the disconnect is left to the watchdog (RFC 6733, section 5.4.3).
     */
    void reconnectSoon() {
        if (!isStopped && !hasAnnouncedDisconnect && reconnectTimer == null) {
            reconnectTimer = scheduler.after(backoff.next(), () -> {
                reconnectTimer = null;
                reconnect.run();
            });
        }
    }

    private void cancelReconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
    }

    /** This node opens no more connections to the peer. */
    void stop() {
        isStopped = true;
        reachability.stop();
        cancelReconnect();
    }

    boolean isStopped() {
        return isStopped;
    }
}
