package pathlane.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import pathlane.bus.ServerList;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.CloseReason;
import pathlane.core.Reachability;
import pathlane.core.ServerEndpoint;
import pathlane.core.ServerPort;
import pathlane.decision.Outcome;
import pathlane.wire.Cause;
import pathlane.wire.Message;

/**
 * The link to one session server: a few connections that all calls share. It chooses the connection for each message, keeps
 * the messages that wait for a connection, and combines what its connections report. A connection that breaks, receives
 * invalid input or goes silent fails only the requests outstanding on it. On the loop's thread.
 */
final class ServerLink implements ServerPort {

    private static final byte[] EMPTY = {};

    private final ServerLinkContext context;
    private final ServerEndpoint server;
    private final String name;
    private final ConnectionPool pool;
    private final PendingMessages pending = new PendingMessages();
    private final OutstandingRequests outstanding = new OutstandingRequests();
    private final DrainDetector drainDetector;
    private final Reachability reachability;
    /** A draining server reports no capacity and accepts no connections any more, but its calls continue. */
    private boolean isDraining;

    /** Connects to the server at once if enough descriptors are free, or else later. */
    ServerLink(ServerEndpoint server, ServerLinkContext context) {
        this.context = context;
        this.server = server;
        this.name = ServerList.serverName(server.id());
        this.drainDetector = new DrainDetector(context);
        this.reachability = new Reachability(context.controller(), context.scheduler(), server.id(), name,
                context.limits().unreachableTimeout(), false);
        this.pool = new ConnectionPool(context, server.address(), () -> new ServerSession(this, context),
                this::failPendingRequests);
        pool.connectWhenListed();
    }

    @Override
    public void sendRequest(CallRequest request, Duration remainingDeadline, boolean mayHaveRun) {
        isDraining = false;   // no request is sent to a draining server, so it does not drain any more
        byte[] bytes = new Message(Message.CALL_REQUEST, request.id())
                .with(Message.CALL_CLASS, context.settings().classes().get(request.callClass()).name())
                .with(Message.REMAINING_DEADLINE, Long.toString(Math.max(1, remainingDeadline.toMillis())))
                .with(Message.DESTINATION, request.destination())
                .with(Message.DESCRIPTION, request.payload()).bytes();
        ServerSession session = drainDetector.mayBeDraining() ? null : pool.leastBusyFor(request.id());
        if (session != null) {
            pool.growIfBusy(session);
            session.sendRequest(request.id(), bytes);
            return;
        }
        pending.addRequest(request.id(), bytes);
        if (!pool.connectForPending()) {
            context.scheduler().after(Duration.ZERO, this::failPendingRequests);
        }
    }

    /**
     * Cancels a request. A call may have only one attempt in progress, and session servers should not work for clients that
     * have gone. A request that has not begun to be sent never is; the cancellation of one that has is sent before anything
     * else is decided. Where that is impossible the connection is aborted, which cancels the requests outstanding on it.
     */
    @Override
    public void cancel(String callId) {
        if (!pending.removeRequest(callId)) {
            outstanding.remove(callId).ifPresent(session -> session.cancel(callId));
        }
    }

    /**
     * Cancels the calls of a connection that is to be aborted on another connection. The server may have sent answers on the
     * first that never arrived, so that it holds the calls as established beside their next attempts. The cancellations are
     * flushed at once, and so precede the next attempts.
     */
    void cancelElsewhere(ServerSession aborted, Collection<String> callIds) {
        ServerSession other = pool.leastBusyExcept(aborted);
        if (other != null) {
            List.copyOf(callIds).forEach(other::sendCancellation);
        }
    }

    /** Whether the call has a request that is outstanding at this server or waits for a connection, or is established. */
    boolean isCallActive(String callId) {
        return outstanding.sessionOf(callId).isPresent() || hasPendingRequest(callId) || isEstablished(callId);
    }

    @Override
    public void release(String callId, Outcome outcome, byte[] content) {
        byte[] bytes = new Message(Message.RELEASE, callId).withCause(Cause.ofEstablishedCall(outcome)).bytes();
        ServerSession preferred = pool.leastBusyFor(callId);
        ServerSession session = preferred == null ? pool.leastBusy() : preferred;
        if (session != null) {
            session.release(callId, bytes);
        } else if (!pool.isClosed() && pending.addRelease(callId, bytes, context.limits().maxWaitingReleases())) {
            pool.connectIfNone();
        }
    }

    @Override
    public Optional<byte[]> pendingReleaseToken(String callId) {
        return pending.hasRelease(callId) ? Optional.of(EMPTY) : Optional.empty();
    }

    /**
     * Opens a connection: the server repeats on the next one that opens what it reported on the previous controller's
     * connection as that one broke.
     */
    @Override
    public void adopt(String callId, byte[] releaseToken) {
        pool.openExtraConnection();
    }

    /**
     * Opens no connection: after a restart each controller would otherwise connect to hundreds of servers for each call that
     * one of them had established before. The release waits for the next connection; the number of such releases is limited.
     */
    @Override
    public void releaseUnknown(String callId, byte[] content) {
        if (pool.leastBusy() != null) {
            release(callId, Outcome.COMPLETED, EMPTY);
        } else if (!pool.isClosed()) {
            byte[] bytes = new Message(Message.RELEASE, callId).withCause(Cause.NORMAL_CLEARING).bytes();
            pending.addRelease(callId, bytes, context.limits().maxWaitingUnknownReleases());
        }
    }

    /**
     * The server drains: nothing new may be sent to it. Withdraws the requests that were written in this turn and those
     * written before that could not be sent, which would be sent as soon as the server reads again.
     */
    @Override
    public void drain() {
        isDraining = true;
        failPendingRequests();
        pool.sessions().forEach(ServerSession::withdrawRequests);
    }

    @Override
    public void close() {
        reachability.stop();
        pending.clearReleases();
        List<ServerSession> remaining = pool.close();
        failPendingRequests();
        remaining.forEach(ServerSession::abortDelisted);
    }

    /** Fails the requests that wait for a connection: as they were never sent, they may go to another server at once. */
    private void failPendingRequests() {
        pending.removeRequests().forEach(callId -> serverReleased(callId, Outcome.UNREACHABLE));
    }

    /** A connection has opened; nothing has been sent on it yet. */
    void opened(ServerSession session) {
        pool.opened();
        reachability.connected();
        if (context.isListCurrent().getAsBoolean() && !pool.isAnyOtherOpen(session)) {
            // The server had no connection on which to report its capacity, and the list would show a drain.
            drainDetector.connectionAccepted(context.now());
        }
    }

    /** Sends the messages that waited for a connection on one that has opened. */
    void sendPending(ServerSession session) {
        List<String> released = List.copyOf(pending.releases().keySet());
        session.releaseAll(pending.releases());
        pending.clearReleases();
        released.forEach(controller()::releaseSent);
        if (!drainDetector.mayBeDraining()) {
            sendPendingRequests(session);
        } else if (context.isListCurrent().getAsBoolean()) {
            failPendingRequests();
        } else {
            context.scheduler().after(context.limits().firstReportTimeout(), this::failPendingUnlessReported);
        }
    }

    /** While the bus is unreachable, a new connection without a capacity report does not rule out that the server drains. */
    private void failPendingUnlessReported() {
        if (drainDetector.mayBeDraining()) {
            failPendingRequests();
        }
    }

    private void sendPendingRequests(ServerSession session) {
        pending.sendRequests(callId -> !session.hasCancelled(callId), session::sendRequest);
    }

    /**
     * The server has reported its capacity on this connection, and therefore takes requests.
     *
     * @throws pathlane.wire.ProtocolException if the report is malformed
     */
    void capacityReported(ServerSession session, String text) {
        drainDetector.capacityReported(context.now());
        CapacityReport report = CapacityReport.parse(text);
        if (!isDraining && session.isWritable()) {
            sendPendingRequests(session);
        }
        controller().capacityReported(server.id(), report.freeSlots(), report.slots());
    }

    /** A connection has ended or could not be opened. */
    void closed(ServerSession session, CloseReason reason) {
        if (session.isConnecting()) {
            pool.connectFailed();
        } else {
            reachability.connectionLost(reason, !pool.isAnyOtherOpen(session));
        }
        session.failRequests(reason);
        if (!reason.isVoluntary()) {
            session.unconfirmedReleases()
                    .forEach((callId, bytes) -> pending.addRelease(callId, bytes, context.limits().maxWaitingReleases()));
        }
        if (pool.isEmpty()) {
            allClosed(reason);
        } else if (!pool.isConnecting()) {
            failPendingRequests();   // the connection that was opened for them failed
            if (!session.isConnecting() && !reason.isVoluntary() && hasEstablishedCalls()) {
                pool.openExtraConnection();
            }
        }
    }

    /** No connection is open or connecting any more. */
    private void allClosed(CloseReason reason) {
        failPendingRequests();
        reachability.allClosed(reason, isDraining);
        pool.scheduleReconnect(reason, hasEstablishedCalls() || pending.hasReleases());
    }

    /** Removes a connection that has ended or could not be opened. */
    void remove(ServerSession session) {
        pool.remove(session);
    }

    /** A request has ended without an answer, or the server has released an established call. */
    void serverReleased(String callId, Outcome outcome) {
        controller().serverReleased(server.id(), callId, outcome, Duration.ZERO);
    }

    /** The server has answered a call's request. */
    void answered(String callId, byte[] description) {
        controller().serverAnswered(server.id(), callId, description);
    }

    /** Whether the call is established, at any server. */
    boolean isEstablished(String callId) {
        return controller().isEstablished(callId);
    }

    /** Whether any call is established at this server. */
    boolean hasEstablishedCalls() {
        return controller().hasEstablishedCallsAt(server.id());
    }

    /** Whether the call's request waits for a connection to this server. */
    boolean hasPendingRequest(String callId) {
        return pending.hasRequest(callId);
    }

    /** The requests outstanding on any connection to this server. */
    OutstandingRequests outstanding() {
        return outstanding;
    }

    /** All connections to this server, open or connecting. */
    List<ServerSession> sessions() {
        return pool.sessions();
    }

    /** The server's name in log lines. */
    String name() {
        return name;
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Whether the server has been removed from the list. */
    boolean isClosed() {
        return pool.isClosed();
    }

    private CallController controller() {
        return context.controller().get();
    }
}
