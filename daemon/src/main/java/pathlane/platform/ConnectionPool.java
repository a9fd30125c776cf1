package pathlane.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.ReconnectBackoff;

/**
 * The connections to one server: decides when one is opened and which one takes the next message. The connections to all
 * servers share a limited number of descriptors. The first one is therefore opened when the server is listed only while many
 * descriptors are free, and otherwise on demand; further ones are opened while the open ones are busy.
 */
final class ConnectionPool {

    private static final Duration MIN_RECONNECT_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RECONNECT_DELAY = Duration.ofSeconds(1);
    /** A connection is opened when the server is listed only while less than a quarter of the descriptors is in use. */
    private static final int EAGER_CONNECT_DIVISOR = 4;
    /** A connection beside busy ones is opened only while less than half of the descriptors is in use. */
    private static final int EXTRA_CONNECT_DIVISOR = 2;
    /** An evicted connection is reopened after this plus up to half of it: ends of calls may be pending at the server. */
    private static final Duration REOPEN_AFTER_EVICTION = Duration.ofSeconds(3);
    /** Within this time a server not connected to when listed is connected to: ends of older calls may be pending there. */
    private static final Duration DEFERRED_CONNECT_SPREAD = Duration.ofSeconds(4);
    /** Servers that are listed later than this after the program's start are new to all controllers. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(5);
    /** By this time after the program's start hardly any call from before the start is still established. */
    private static final Duration OLDER_CALLS_PERIOD = Duration.ofSeconds(30);

    private final ServerLinkContext context;
    private final InetSocketAddress address;
    private final Supplier<ServerSession> sessionFactory;
    private final Runnable onNoDescriptor;
    private final List<ServerSession> sessions = new ArrayList<>();
    private final ReconnectBackoff reconnectBackoff;
    private Scheduler.Timer reconnectTimer;
    private Scheduler.Timer extraConnectTimer;
    /** No connection is opened beside open ones before this. */
    private Instant nextExtraConnect = Instant.MIN;
    private boolean isClosed;

    /**
     * Creates an empty pool.
     *
     * @param onNoDescriptor called in a turn of the loop of its own when no connection could be opened, since every
     *                       descriptor is in use by a connection with outstanding requests
     */
    ConnectionPool(ServerLinkContext context, InetSocketAddress address, Supplier<ServerSession> sessionFactory,
            Runnable onNoDescriptor) {
        this.context = context;
        this.address = address;
        this.sessionFactory = sessionFactory;
        this.onNoDescriptor = onNoDescriptor;
        this.reconnectBackoff = new ReconnectBackoff(context.random());
    }

    /** The server was listed: connects at once if enough descriptors are free, or else later. */
    void connectWhenListed() {
        if (context.connectionLimiter().isBelowFraction(EAGER_CONNECT_DIVISOR)) {
            openConnection();
        } else if (context.now().isBefore(context.startedAt().plus(STARTUP_PERIOD))) {
            reconnectTimer = context.scheduler().after(randomBelow(DEFERRED_CONNECT_SPREAD), this::reconnect);
        }
    }

    /**
     * Opens a connection if there is none. A server reports the ends of calls from before this program's start on the next
     * connection that it gets from here, and clients must receive these within 8 s. The times are spread, so that a start
     * does not open hundreds of connections at once.
     */
    private void reconnect() {
        reconnectTimer = null;
        if (!isClosed && sessions.isEmpty()) {
            connectIfNone();
            if (sessions.isEmpty()) {
                reconnectTimer = context.scheduler().after(MAX_RECONNECT_DELAY, this::reconnect);   // no free descriptor
            }
        }
    }

    /** Opens one more connection: the server repeats there the ends of calls that it reported on a connection that broke. */
    void openExtraConnection() {
        if (extraConnectTimer == null) {
            extraConnectTimer = context.scheduler().after(randomBelow(MIN_RECONNECT_DELAY), () -> {
                extraConnectTimer = null;
                if (!isClosed && isBelowLimit()) {
                    openConnection();
                }
            });
        }
    }

    /** Opens a connection if none is open or connecting; one that is being closed does not count. */
    void connectIfNone() {
        if (!isClosed && sessions.stream().allMatch(ServerSession::isClosing)) {
            openConnection();
        }
    }

    private void openConnection() {
        ServerSession session = sessionFactory.get();
        if (context.connectionLimiter().tryAdmit(session, session::close)) {
            sessions.add(session);
            context.connector().connect(address, context.settings().connectTimeout(), session);
        } else {
            context.scheduler().after(Duration.ZERO, onNoDescriptor);
        }
    }

    /** Opens one more connection, for the next request, when a request is sent on a busy one. */
    void growIfBusy(ServerSession chosen) {
        if (!chosen.isBusy() || !isBelowLimit() || !context.connectionLimiter().isBelowFraction(EXTRA_CONNECT_DIVISOR)
                || !mayConnectExtra()) {
            return;
        }
        nextExtraConnect = context.now().plus(MIN_RECONNECT_DELAY);
        openConnection();
    }

    /** Ensures that a connection is being opened for pending requests; false if none may be opened. */
    boolean connectForPending() {
        if (isConnecting()) {
            return true;
        }
        if (leastBusy() == null) {
            connectIfNone();
            return true;
        }
        if (isBelowLimit() && mayConnectExtra()) {
            openConnection();
            return true;
        }
        return false;
    }

    private boolean isBelowLimit() {
        return sessions.size() < context.limits().maxConnections();
    }

    private boolean mayConnectExtra() {
        return !context.now().isBefore(nextExtraConnect);
    }

    private Duration randomBelow(Duration bound) {
        return Duration.ofNanos(context.random().nextLong(bound.toNanos()));
    }

    /** The open connection with the fewest outstanding requests, or null if none is open. */
    ServerSession leastBusy() {
        return leastBusy(ServerSession::isOpen);
    }

    /** The connection on which to send a call's request, or null if none may take it. */
    ServerSession leastBusyFor(String callId) {
        return leastBusy(session -> session.mayTakeRequest(callId));
    }

    /** The least busy writable connection other than one that is about to be closed, or null if there is none. */
    ServerSession leastBusyExcept(ServerSession closing) {
        return leastBusy(session -> session != closing && session.isWritable());
    }

    private ServerSession leastBusy(Predicate<ServerSession> isUsable) {
        ServerSession best = null;
        for (ServerSession session : sessions) {
            if (isUsable.test(session) && (best == null || session.outstandingCount() < best.outstandingCount())) {
                best = session;
            }
        }
        return best;
    }

    boolean isEmpty() {
        return sessions.isEmpty();
    }

    boolean isConnecting() {
        return sessions.stream().anyMatch(ServerSession::isConnecting);
    }

    boolean isAnyOtherOpen(ServerSession session) {
        return sessions.stream().anyMatch(other -> other != session && other.isOpen());
    }

    /** A copy, which does not change while connections end. */
    List<ServerSession> sessions() {
        return List.copyOf(sessions);
    }

    /** A connection has opened. */
    void opened() {
        reconnectBackoff.reset();
    }

    /** A connection could not be opened. */
    void connectFailed() {
        nextExtraConnect = context.now().plus(MAX_RECONNECT_DELAY);
    }

    /** A connection has ended or could not be opened. */
    void remove(ServerSession session) {
        sessions.remove(session);
        context.connectionLimiter().closed(session);
    }

    /**
     * No connection is open or connecting any more: schedules a new one if messages about established calls may be exchanged
     * on it.
     *
     * @param isNeeded whether calls are established at the server, or releases are pending for it
     */
    void scheduleReconnect(CloseReason reason, boolean isNeeded) {
        boolean wasEvicted = reason == CloseReason.EVICTED;
        boolean mayHaveOlderCalls = wasEvicted && context.now().isBefore(context.startedAt().plus(OLDER_CALLS_PERIOD));
        if (isClosed || !isNeeded && !mayHaveOlderCalls) {
            return;
        }
        Duration delay = wasEvicted ? reconnectBackoff.withJitter(REOPEN_AFTER_EVICTION) : reconnectBackoff.next();
        reconnectTimer = context.scheduler().after(delay, this::reconnect);
    }

    /** Opens no more connections and returns those that remained. */
    List<ServerSession> close() {
        isClosed = true;
        if (extraConnectTimer != null) {
            extraConnectTimer.cancel();
        }
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
        }
        List<ServerSession> remaining = List.copyOf(sessions);
        sessions.clear();
        return remaining;
    }

    boolean isClosed() {
        return isClosed;
    }
}
