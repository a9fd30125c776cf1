package pathlane.diameter;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.NamedClient;
import pathlane.core.Scheduler;
import pathlane.core.ServerPort;
import pathlane.decision.Outcome;
import pathlane.transport.Connector;

/**
 * A Diameter server peer: this node connects to it and monitors it by watchdog.
 *
 * <p>A suspect peer gets no new request, and outstanding requests are not sent again: a request ends by its answer, its
 * timeout, or the close of its connection, which this node closes if watchdogs stay unanswered. Only then may the call
 * go to another server, so that a request and its resend are never outstanding together.
 */
final class ServerPeer implements ServerPort, PeerSession.Handler, Watchdog.Actions {

    private static final Logger LOG = System.getLogger("diameter");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** How long to wait for the late answer to a cancelled request before its session is terminated without one. */
    private static final Duration MAX_LATE_ANSWER_WAIT = Duration.ofSeconds(60);
    private static final String SESSION_ID_SEPARATOR = ";";

    private final DiameterConfig.Peer config;
    private final LocalNode local;
    private final Supplier<CallController> controller;
    private final Connector connector;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Consumer<Boolean> onAvailabilityChange;
    private final Watchdog watchdog;
    /** Calls of unanswered initial requests by hop-by-hop id. */
    private final Map<Integer, String> unansweredCalls = new HashMap<>();
    /** Initial requests by call, of sessions that are being opened or may be open at this peer. */
    private final Map<String, DiameterMessage> initialRequests = new HashMap<>();
    private final PendingTerminations terminations;
    /** Hop-by-hop ids of unanswered initial requests that were cancelled. */
    private final Set<Integer> cancelledIds = new HashSet<>();
    /** Receivers of the answers to forwarded update requests by hop-by-hop id. */
    private final Map<Integer, Consumer<DiameterMessage>> unansweredUpdates = new HashMap<>();
    private final PeerRecovery recovery;
    private PeerSession session;

    ServerPeer(DiameterConfig.Peer config, LocalNode local, Duration watchdogInterval, Supplier<CallController> controller,
            Connector connector, Scheduler scheduler, RandomGenerator random, Consumer<Boolean> onAvailabilityChange) {
        this.config = config;
        this.local = local;
        this.controller = controller;
        this.connector = connector;
        this.scheduler = scheduler;
        this.random = random;
        this.onAvailabilityChange = onAvailabilityChange;
        this.watchdog = new Watchdog(watchdogInterval, scheduler, random, this);
        this.terminations = new PendingTerminations(scheduler, this::forwardRequest);
        this.recovery = new PeerRecovery(config, controller, scheduler, random, this::attemptOpen);
        attemptOpen();
        watchdog.start();
    }

    // ---- from the core

    @Override
    public void sendRequest(CallRequest callRequest, Duration timeout, boolean mayHaveRun) {
        String call = callRequest.id();
        if (session == null || !session.isOpen() || watchdog.state() != Watchdog.State.OKAY) {
            controller.get().serverReleased(config.id(), call, Outcome.UNREACHABLE, Duration.ZERO);
            return;
        }
        DiameterMessage request = DiameterMessage.read(ByteBuffer.wrap(callRequest.payload()));
        int retransmitted = mayHaveRun ? DiameterMessage.RETRANSMITTED : 0;
        initialRequests.put(call, request);
        unansweredCalls.put(forwardRequest(request, request.flags() | retransmitted), call);
    }

    @Override
    public void cancel(String call) {
        // Diameter can't cancel a request: the late answer is recognized by its id, and a session that the request
        // opened is terminated. The initial request is kept until then.
        unansweredCalls.forEach((id, unansweredCall) -> {
            if (unansweredCall.equals(call) && cancelledIds.add(id)) {
                scheduler.after(MAX_LATE_ANSWER_WAIT, () -> expireLateAnswer(id, call));
            }
        });
    }

    /** Terminates the session of a request that was never answered, so that such requests don't accumulate. */
    private void expireLateAnswer(int id, String call) {
        if (cancelledIds.remove(id)) {
            unansweredCalls.remove(id);
            if (!controller.get().isEstablished(call) && !unansweredCalls.containsValue(call)) {
                release(call, Outcome.CANCELLED, new byte[0]);
            }
        }
    }

    @Override
    public boolean forward(String call, byte[] content, ClientPort from) {
        return forward(DiameterMessage.read(ByteBuffer.wrap(content)),
                answer -> controller.get().forwardToClient(config.id(), call, answer.bytes(), from));
    }

    /**
     * Forwards a client's message within a session.
     *
     * @param onAnswer receives the server's answer, if it arrives in time
     * @return false if it can't be sent now
     */
    boolean forward(DiameterMessage request, Consumer<DiameterMessage> onAnswer) {
        boolean isOpen = session != null && session.isOpen();
        if (isOpen) {
            int id = forwardRequest(request);
            unansweredUpdates.put(id, onAnswer);
            scheduler.after(MAX_LATE_ANSWER_WAIT, () -> unansweredUpdates.remove(id, onAnswer));   // in case of no answer
        }
        return isOpen;
    }

    @Override
    public void release(String call, Outcome outcome, byte[] content) {
        DiameterMessage initialRequest = initialRequests.remove(call);
        if (content.length > 0) {
            terminate(call, DiameterMessage.read(ByteBuffer.wrap(content)));
        } else if (initialRequest != null) {
            terminate(call, termination(initialRequest));
        }
    }

    /** Terminates a session from before this process started, unless its client names another server. */
    @Override
    public void releaseUnknown(String call, byte[] content) {
        if (content.length == 0) {
            return;   // a termination can't be made without what the client knows of its session
        }
        DiameterMessage termination = DiameterMessage.read(ByteBuffer.wrap(content));
        Avp destinationHost = termination.find(Avp.DESTINATION_HOST);
        if (destinationHost == null || destinationHost.text().equals(config.host())) {
            terminate(call, termination);
        }
    }

    /** Sends a termination request now, or on the next connection. */
    private void terminate(String call, DiameterMessage termination) {
        if (session != null && session.isOpen()) {
            terminations.send(call, termination);
        } else {
            terminations.await(call, termination);
        }
    }

    @Override
    public Optional<byte[]> pendingReleaseToken(String call) {
        return terminations.waitingFor(call).map(SessionTermination::releaseToken);
    }

    @Override
    public byte[] releaseToken(CallRequest callRequest) {
        return SessionTermination.releaseToken(DiameterMessage.read(ByteBuffer.wrap(callRequest.payload())));
    }

    @Override
    public void adopt(String call, byte[] releaseToken) {
        initialRequests.putIfAbsent(call, SessionTermination.initialRequest(call, releaseToken));
    }

    /** Sends a request of a session at this peer; returns its hop-by-hop id. */
    private int forwardRequest(DiameterMessage request) {
        return forwardRequest(request, request.flags());
    }

    private int forwardRequest(DiameterMessage request, int flags) {
        List<Avp> avps = new ArrayList<>(request.avps());
        avps.removeIf(avp -> avp.code() == Avp.DESTINATION_HOST);
        avps.add(Avp.of(Avp.DESTINATION_HOST, config.host()));
        return session.sendRequest(request, flags, avps);
    }

    private DiameterMessage termination(DiameterMessage initialRequest) {
        return SessionTermination.of(initialRequest, PeerSession.newEndToEnd(scheduler, random));
    }

    @Override
    public void drain() {
        // Outstanding requests continue, and no request is queued here.
    }

    @Override
    public void close() {
        stopReconnecting();
        if (session != null) {
            session.close(CloseReason.DELISTED);
        }
    }

    private void stopReconnecting() {
        recovery.stop();
        watchdog.stop();
    }

    /** Disconnects from the peer gracefully. */
    void disconnect() {
        stopReconnecting();
        if (session != null) {
            session.disconnect();
        }
    }

    // ---- from the connection

    @Override
    public int accept(String host) {
        return host.equals(config.host()) ? ResultCode.SUCCESS : ResultCode.UNABLE_TO_COMPLY;
    }

    @Override
    public void opened(PeerSession openedSession) {
        if (recovery.opened(openedSession.originStateId())) {
            endLostSessions();
        }
        terminations.connected().forEach(call -> controller.get().releaseSent(call));
        watchdog.connectionUp();
    }

    /** Ends the sessions at the peer, which has restarted without them: nothing is left there to terminate. */
    private void endLostSessions() {
        LOG.log(Level.WARNING, "peer {0} has restarted and lost its sessions", config.host());
        initialRequests.clear();
        terminations.drop().forEach(call -> controller.get().releaseSent(call));
        controller.get().serverLost(config.id(), true);
    }

    @Override
    public void request(PeerSession from, DiameterMessage request) {
        if (request.command() != DiameterMessage.ABORT_SESSION) {
            throw new DiameterException(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
        String call = request.require(Avp.SESSION_ID).text();
        boolean isKnown = initialRequests.remove(call) != null;
        boolean isAccepted =
                isKnown || controller.get().unknownCallEnded(call, Outcome.RESET, clientOf(call, request));
        from.send(request.answer(isAccepted ? ResultCode.SUCCESS : ResultCode.UNKNOWN_SESSION_ID, local, List.of()));
        if (isKnown) {
            controller.get().serverReleased(config.id(), call, Outcome.RESET, Duration.ZERO);
        }
    }

    /**
     * The client of a session from before this process started: the one that the server names, else the one with which the
     * session id begins (RFC 6733, section 8.8).
     */
    private ClientPort clientOf(String call, DiameterMessage abort) {
        Avp destinationHost = abort.find(Avp.DESTINATION_HOST);
        boolean namesClient = destinationHost != null && !destinationHost.text().equals(local.host());
        return new NamedClient(namesClient ? destinationHost.text() : call.split(SESSION_ID_SEPARATOR, 2)[0]);
    }

    @Override
    public void answer(PeerSession from, DiameterMessage answer) {
        String call = unansweredCalls.remove(answer.hopByHop());
        boolean isCancelled = cancelledIds.remove(answer.hopByHop());
        if (call == null) {
            Consumer<DiameterMessage> receiver = unansweredUpdates.remove(answer.hopByHop());
            if (receiver != null) {
                receiver.accept(answer);
            }
            terminations.answered(answer.hopByHop());
            return;
        }
        int result = answer.find(Avp.RESULT_CODE) == null ? ResultCode.UNABLE_TO_COMPLY
                : answer.find(Avp.RESULT_CODE).number();
        if (ResultCode.isSuccess(result)) {
            controller.get().serverAnswered(config.id(), call, answer.bytes());
            return;
        }
        if (isCancelled && unansweredCalls.containsValue(call)) {
            return;   // a later attempt at the same peer is outstanding, and its result decides
        }
        initialRequests.remove(call);
        Avp validityTime = answer.find(Avp.VALIDITY_TIME);
        controller.get().serverReleased(config.id(), call, ResultCode.outcomeOf(result),
                validityTime == null ? Duration.ZERO : Duration.ofSeconds(validityTime.number() & 0xffffffffL));
    }

    @Override
    public void messageReceived(boolean watchdogAnswer) {
        watchdog.received(watchdogAnswer);
    }

    @Override
    public void closed(PeerSession closedSession, CloseReason reason) {
        if (session != closedSession) {
            return;
        }
        session = null;
        LOG.log(Level.INFO, "peer {0} is DOWN: {1}", config.host(), reason);
        watchdog.connectionDown();
        terminations.disconnected();
        List<String> failedCalls = List.copyOf(unansweredCalls.values());
        unansweredCalls.clear();
        cancelledIds.clear();
        unansweredUpdates.clear();   // their clients get an error when the update times out
        for (String call : failedCalls) {
            // The request may have been processed: a session that it may have opened is terminated on the next
            // connection before any new request is sent there.
            DiameterMessage initialRequest = initialRequests.remove(call);
            if (initialRequest != null) {
                terminations.await(call, termination(initialRequest));
            }
            controller.get().serverReleased(config.id(), call, reason.outcome(), Duration.ZERO);
        }
        recovery.closed(reason);
        if (controller.get().hasEstablishedCallsAt(config.id()) || terminations.isAnyWaiting()) {
            recovery.reconnectSoon();
        }
    }

    // ---- from the watchdog

    @Override
    public void sendWatchdog() {
        if (session != null && session.isOpen()) {
            session.sendWatchdog();
        }
    }

    @Override
    public void failOver() {
        LOG.log(Level.WARNING, "peer {0} is {1}: no new requests are sent there, {2} requests stay outstanding",
                config.host(),
                watchdog.state(), unansweredCalls.size());
        onAvailabilityChange.accept(false);
    }

    @Override
    public void failBack() {
        LOG.log(Level.INFO, "peer {0} is OKAY", config.host());
        onAvailabilityChange.accept(true);
    }

    @Override
    public void closeConnection() {
        if (session != null) {
            session.close(CloseReason.WATCHDOG_LOST);
        }
    }

    @Override
    public void attemptOpen() {
        if (session == null && !recovery.isStopped()) {
            session = new PeerSession(true, local, scheduler, random, this);
            connector.connect(config.address(), CONNECT_TIMEOUT, session);
        }
    }
}
