package pathlane.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import pathlane.bus.ServerList;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.CloseReason;
import pathlane.core.ServerEndpoint;
import pathlane.core.ServerPort;
import pathlane.decision.Outcome;
import pathlane.wire.Cause;
import pathlane.wire.Message;

/**
 * The link to one session server: a few connections that all calls share. It chooses the connection for each message, keeps
 * what waits for one, and joins what its connections report. One that breaks, is spoilt or falls silent costs only the
 * set-ups that are out on it. On the loop's thread.
 */
final class ServerLink implements ServerPort {

    private static final byte[] NOTHING = {};

    private final ServerLinkContext context;
    private final ServerEndpoint server;
    private final String name;
    private final ConnectionPool pool;
    private final PendingMessages pending = new PendingMessages();
    private final OutstandingSetUps outstanding = new OutstandingSetUps();
    private final DrainDetector drainDetector;
    private final Reachability reachability;
    /** A server that drains reports no capacity and accepts no connections any more, and its calls go on all the same. */
    private boolean draining;

    /** Dials the server at once where there are descriptors for it, and visits it later where there are not. */
    ServerLink(ServerEndpoint server, ServerLinkContext context) {
        this.context = context;
        this.server = server;
        this.name = ServerList.serverName(server.id());
        this.drainDetector = new DrainDetector(context);
        this.reachability = new Reachability(context, server.id(), name);
        this.pool = new ConnectionPool(context, server.address(), () -> new ServerSession(this, context),
                this::endWaiting);
        pool.dialAtListing();
    }

    @Override
    public void sendRequest(CallRequest setUp, Duration patience, boolean mayHaveRun) {
        draining = false;   // nothing new comes here while it drains
        byte[] bytes = new Message(Message.SET_UP, setUp.id())
                .with(Message.CLASS, context.settings().classes().get(setUp.callClass()).name())
                .with(Message.PATIENCE, Long.toString(Math.max(1, patience.toMillis())))
                .with(Message.NUMBER, setUp.destination())
                .with(Message.DESCRIPTION, setUp.payload()).bytes();
        ServerSession session = drainDetector.mayBeDraining() ? null : pool.leastBusyFor(setUp.id());
        if (session != null) {
            pool.growBeside(session);
            session.setUp(setUp.id(), bytes);
            return;
        }
        pending.addSetUp(setUp.id(), bytes);
        if (!pool.dialForWaiting()) {
            context.scheduler().after(Duration.ZERO, this::endWaiting);
        }
    }

    /**
     * Guards the rule of one attempt, and session servers against work for callers that have gone: a set-up that has not
     * begun to leave never does, and the give-up of one that has leaves before anything else is decided. Where it can't,
     * the connection is broken off, which gives up what is out there.
     */
    @Override
    public void cancel(String call) {
        if (!pending.removeSetUp(call)) {
            outstanding.remove(call).ifPresent(session -> session.giveUp(call));
        }
    }

    /**
     * Guards the rule of one attempt where a connection is broken off: the server may have answered there unheard, so that
     * the calls stand. What is written here leaves at once, and so ahead of the next attempts.
     */
    void giveUpBeside(ServerSession broken, Collection<String> calls) {
        ServerSession beside = pool.leastBusyBeside(broken);
        if (beside != null) {
            List.copyOf(calls).forEach(beside::tellGivenUp);
        }
    }

    /** Whether an attempt of the call is out at this server, or waits for a connection to it, or the call stands. */
    boolean isOutOrStands(String call) {
        return outstanding.sessionOf(call).isPresent() || hasPendingSetUp(call) || stands(call);
    }

    @Override
    public void release(String call, Outcome how, byte[] content) {
        byte[] bytes = new Message(Message.RELEASE, call).withCause(Cause.ofRelease(how)).bytes();
        ServerSession free = pool.leastBusyFor(call);
        ServerSession session = free == null ? pool.leastBusy() : free;
        if (session != null) {
            session.release(call, bytes);
        } else if (!pool.isClosed() && pending.addRelease(call, bytes, context.limits().waitingReleases())) {
            pool.dialIfNone();
        }
    }

    @Override
    public Optional<byte[]> pendingRelease(String call) {
        return pending.hasRelease(call) ? Optional.of(NOTHING) : Optional.empty();
    }

    /** What the server reported on the former controller's connection as it broke, it reports on the next one that opens. */
    @Override
    public void adopt(String call, byte[] ending) {
        pool.visitAnew();
    }

    /**
     * Guards hundreds of servers against a connection from each controller for each call that one of them set up before
     * its restart: where none is up the release waits for the next, and there are only so many.
     */
    @Override
    public void releaseUnknown(String call) {
        if (pool.leastBusy() != null) {
            release(call, Outcome.COMPLETED, NOTHING);
        } else if (!pool.isClosed()) {
            byte[] bytes = new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes();
            pending.addRelease(call, bytes, context.limits().waitingUnknown());
        }
    }

    /**
     * Guards rule three against what was written in this turn, and what was written before and could not leave: it would,
     * once the server reads again.
     */
    @Override
    public void drain() {
        draining = true;
        endWaiting();
        pool.sessions().forEach(ServerSession::withdrawSetUps);
    }

    @Override
    public void close() {
        reachability.stop();
        pending.clearReleases();
        List<ServerSession> left = pool.close();
        endWaiting();
        left.forEach(ServerSession::delist);
    }

    /** Ends the set-ups that wait for a connection: what never left is free to go elsewhere at once. */
    private void endWaiting() {
        pending.removeSetUps().forEach(call -> setUpEnded(call, Outcome.UNREACHABLE));
    }

    /** A connection has come up; it has taken no messages yet. */
    void opened(ServerSession session) {
        pool.opened();
        reachability.reached();
        if (context.listCurrent().getAsBoolean() && !pool.isAnyUpBeside(session)) {
            // Nothing could have been reported meanwhile, and a drain would be known.
            drainDetector.accepted(context.now());
        }
    }

    /** Gives a connection that has come up what has waited for one. */
    void sendPending(ServerSession session) {
        List<String> released = List.copyOf(pending.releases().keySet());
        session.releaseAll(pending.releases());
        pending.clearReleases();
        released.forEach(controller()::releaseSent);
        if (!drainDetector.mayBeDraining()) {
            sendPendingSetUps(session);
        } else if (context.listCurrent().getAsBoolean()) {
            endWaiting();
        } else {
            context.scheduler().after(context.limits().firstLines(), this::endUnlessReported);
        }
    }

    /** A new connection on which no capacity is reported, while the bus is not reachable, shows nothing of a drain. */
    private void endUnlessReported() {
        if (drainDetector.mayBeDraining()) {
            endWaiting();
        }
    }

    private void sendPendingSetUps(ServerSession session) {
        pending.sendSetUps(call -> !session.hasGivenUp(call), session::setUp);
    }

    /**
     * The server has reported its capacity on this connection, so it takes set-ups.
     *
     * @throws BadInput where the report can't be read
     */
    void capacityReported(ServerSession session, String state) {
        drainDetector.reported(context.now());
        CapacityReport report = CapacityReport.parse(state);
        if (!draining && session.isWritable()) {
            sendPendingSetUps(session);
        }
        controller().capacityReported(server.id(), report.free(), report.size());
    }

    /** A connection has ended, or could not be dialled. */
    void closed(ServerSession session, CloseReason end) {
        if (session.isDialling()) {
            pool.dialFailed();
        } else {
            reachability.lost(end, !pool.isAnyUpBeside(session));
        }
        session.endSetUps(end);
        if (!end.isVoluntary()) {
            session.unconfirmedReleases()
                    .forEach((call, bytes) -> pending.addRelease(call, bytes, context.limits().waitingReleases()));
        }
        if (pool.isEmpty()) {
            allEnded(end);
        } else if (!pool.isDialling()) {
            endWaiting();   // the one that was dialled for them did not come up
            if (!session.isDialling() && !end.isVoluntary() && hasStandingCalls()) {
                pool.visitAnew();
            }
        }
    }

    /** Nothing is up or dialled any more. */
    private void allEnded(CloseReason end) {
        endWaiting();
        reachability.allEnded(end, draining);
        pool.redialAfter(end, hasStandingCalls() || pending.hasReleases());
    }

    /** A connection has ended, or could not be dialled: it counts no more. */
    void remove(ServerSession session) {
        pool.remove(session);
    }

    /** A set-up has ended without an answer, or the server has released a call that stood. */
    void setUpEnded(String call, Outcome how) {
        controller().serverReleased(server.id(), call, how, Duration.ZERO);
    }

    /** The server has answered a call's set-up. */
    void answered(String call, byte[] description) {
        controller().serverAnswered(server.id(), call, description);
    }

    /** Whether the call stands, at whichever server. */
    boolean stands(String call) {
        return controller().isEstablished(call);
    }

    /** Whether any call stands at this server. */
    boolean hasStandingCalls() {
        return controller().hasEstablishedCallsAt(server.id());
    }

    /** Whether the call's set-up waits for a connection to this server. */
    boolean hasPendingSetUp(String call) {
        return pending.hasSetUp(call);
    }

    /** The set-ups that are out on any connection to this server. */
    OutstandingSetUps outstanding() {
        return outstanding;
    }

    /** All connections to this server, dialled or up. */
    List<ServerSession> sessions() {
        return pool.sessions();
    }

    /** The server's name in log lines. */
    String name() {
        return name;
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether the server has gone from the list. */
    boolean isClosed() {
        return pool.isClosed();
    }

    private CallController controller() {
        return context.controller().get();
    }
}
