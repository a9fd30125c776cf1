package pathlane.diameter;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.transport.RateLimiter;

/**
 * One connection from a Diameter client: an initial Credit-Control-Request is a call request, its answer the call's only
 * final answer, and a termination request the release of an established call.
 */
final class ClientPeer implements ClientPort, PeerSession.Handler, Watchdog.Actions {

    private static final int INITIAL = 1;
    private static final int UPDATE = 2;
    private static final int TERMINATION = 3;

    private final CallController controller;
    private final DiameterConfig config;
    private final LocalNode local;
    private final Watchdog watchdog;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<String, DiameterMessage> unansweredRequests = new HashMap<>();
    /** Unanswered update requests by end-to-end id. */
    private final Map<Integer, DiameterMessage> unansweredUpdates = new HashMap<>();
    /** Limits the terminations that are sent to all server peers. */
    private final RateLimiter unnamedServerLimiter;
    private final Function<String, Optional<ServerPeer>> serverPeers;
    private final Consumer<ClientPeer> onClosed;
    private PeerSession session;

    /**
     * Creates a connection that has not opened yet.
     *
     * @param serverPeers finds a server peer by its host
     * @param onClosed called when the connection has closed
     */
    ClientPeer(CallController controller, DiameterConfig config, LocalNode local, Scheduler scheduler,
            RandomGenerator random, Function<String, Optional<ServerPeer>> serverPeers, Consumer<ClientPeer> onClosed) {
        this.serverPeers = serverPeers;
        this.onClosed = onClosed;
        this.unnamedServerLimiter = new RateLimiter(config.clientLimits().unknownReleaseBurst(),
                config.clientLimits().unknownReleaseInterval(), scheduler);
        this.controller = controller;
        this.config = config;
        this.local = local;
        this.scheduler = scheduler;
        this.random = random;
        this.watchdog = new Watchdog(config.watchdogInterval(), scheduler, random, this);
    }

    // ---- from the connection

    @Override
    public int accept(String host) {
        // This node itself connects to server peers, and that connection wins over a second one (RFC 6733, section 5.6.4).
        return config.peers().stream().anyMatch(peer -> peer.host().equals(host)) ? ResultCode.ELECTION_LOST
                : ResultCode.SUCCESS;
    }

    @Override
    public void opened(PeerSession openedSession) {
        session = openedSession;
        watchdog.connectionUp();
        controller.clientConnected(this);
    }

    @Override
    public void request(PeerSession from, DiameterMessage request) {
        if (request.command() != DiameterMessage.CREDIT_CONTROL) {
            throw new DiameterException(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
        for (int code : new int[] {Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM,
                Avp.AUTH_APPLICATION_ID, Avp.SERVICE_CONTEXT_ID, Avp.CC_REQUEST_NUMBER}) {
            request.require(code);
        }
        request.require(Avp.CC_REQUEST_NUMBER).number();
        String call = request.require(Avp.SESSION_ID).text();
        Avp type = request.require(Avp.CC_REQUEST_TYPE);
        switch (type.number()) {
            case INITIAL -> submit(call, request);
            case UPDATE -> forwardUpdate(call, request);
            case TERMINATION -> from.send(answer(request, terminate(call, request), Duration.ZERO));
            default -> throw new DiameterException(ResultCode.INVALID_AVP_VALUE, type, "request type " + type.number());
        }
    }

    private void submit(String call, DiameterMessage request) {
        DiameterConfig.ServiceClass serviceClass = serviceOf(request);
        Avp destinationHost = request.find(Avp.DESTINATION_HOST);
        boolean isRetransmitted = (request.flags() & DiameterMessage.RETRANSMITTED) != 0;
        // Without the T flag a repeated request equals the first one. It is set again when the request is sent.
        byte[] payload = forwarded(request, request.flags() & ~DiameterMessage.RETRANSMITTED).bytes();
        CallRequest callRequest =
                new CallRequest(call, serviceClass.classIndex(), subscriberOf(call, request), serviceClass.timeout(),
                        config.poolOf(destinationHost == null ? "" : destinationHost.text()), payload, isRetransmitted);
        DiameterMessage earlier = unansweredRequests.put(call, request);
        if (controller.submit(callRequest, this)) {
            return;
        }
        if (earlier != null) {
            unansweredRequests.put(call, earlier);
        } else if (controller.resubmit(callRequest, this)) {
            return;   // resent by the client after a failover: the answer goes to this connection
        } else {
            unansweredRequests.remove(call);
        }
        // A session that is open or established is not started again, and no other connection gets its answer.
        session.send(answer(request, ResultCode.UNABLE_TO_COMPLY, Duration.ZERO));
    }

    /**
     * Terminates a session and returns the result for its client. One from before this process started is terminated at the
     * server that the client names, else at all servers, which a client could use to load them: then the rate is limited.
     */
    private int terminate(String call, DiameterMessage request) {
        if (controller.clientReleased(call, forwarded(request).bytes(), this)) {
            return ResultCode.SUCCESS;
        }
        if (!controller.isUnknown(call)) {
            return ResultCode.UNKNOWN_SESSION_ID;   // it has ended, or it is another client's
        }
        DiameterMessage termination = forwarded(request);
        if (namedServer(request).isEmpty()) {
            if (!unnamedServerLimiter.tryAcquire()) {
                return ResultCode.TOO_BUSY;
            }
            termination = termination.without(Avp.DESTINATION_HOST);
        }
        controller.releaseUnknown(call, termination.bytes());
        return ResultCode.SUCCESS;
    }

    /** The server peer that a client's request names; sessions from before this process started are found by it. */
    private Optional<ServerPeer> namedServer(DiameterMessage request) {
        return Optional.ofNullable(request.find(Avp.DESTINATION_HOST)).flatMap(host -> serverPeers.apply(host.text()));
    }

    /**
     * Forwards an update to the server of the established session, or of one from before this process started. An error
     * answer tells the client if that fails.
     */
    private void forwardUpdate(String call, DiameterMessage request) {
        Optional<ServerPeer> earlierServer = controller.isUnknown(call) ? namedServer(request) : Optional.empty();
        if (!controller.isEstablishedFor(call, this) && earlierServer.isEmpty()) {
            session.send(answer(request, ResultCode.UNKNOWN_SESSION_ID, Duration.ZERO));
            return;
        }
        int id = request.endToEnd();
        unansweredUpdates.put(id, request);
        boolean isForwarded = earlierServer.isPresent()
                ? earlierServer.get().forward(forwarded(request), answer -> forwardReply(call, answer.bytes()))
                : controller.forwardToServer(call, forwarded(request).bytes(), this);
        if (isForwarded) {
            scheduler.after(serviceOf(request).timeout(), () -> rejectUndelivered(id, request));
        } else {
            rejectUndelivered(id, request);
        }
    }

    private void rejectUndelivered(int id, DiameterMessage request) {
        if (unansweredUpdates.remove(id, request) && session.isOpen()) {
            session.send(answer(request, ResultCode.UNABLE_TO_DELIVER, Duration.ZERO));
        }
    }

    private DiameterConfig.ServiceClass serviceOf(DiameterMessage request) {
        Avp service = request.find(Avp.SERVICE_IDENTIFIER);
        return config.classOf(service == null ? -1 : service.number());
    }

    /** The subscriber's id, or the call's id if the request names no subscriber. */
    private static String subscriberOf(String call, DiameterMessage request) {
        Avp subscription = request.find(Avp.SUBSCRIPTION_ID);
        if (subscription == null) {
            return call;
        }
        for (ByteBuffer inner = ByteBuffer.wrap(subscription.data()); inner.hasRemaining();) {
            Avp avp = Avp.read(inner);
            if (avp.code() == Avp.SUBSCRIPTION_ID_DATA) {
                return avp.text();
            }
        }
        return call;
    }

    private DiameterMessage forwarded(DiameterMessage request) {
        return forwarded(request, request.flags());
    }

    /** The request as it is forwarded, with a Route-Record of the peer that sent it (RFC 6733, section 6.1.9). */
    private DiameterMessage forwarded(DiameterMessage request, int flags) {
        List<Avp> avps = new ArrayList<>(request.avps());
        avps.add(Avp.of(Avp.ROUTE_RECORD, session.peer()));
        return request.withHop(0, flags, avps);
    }

    @Override
    public void answer(PeerSession from, DiameterMessage answer) {
        // The only application requests sent to clients are aborts, whose answers change nothing.
    }

    @Override
    public void messageReceived(boolean watchdogAnswer) {
        watchdog.received(watchdogAnswer);
    }

    @Override
    public void closed(PeerSession closedSession, CloseReason reason) {
        watchdog.stop();
        onClosed.accept(this);
        if (session != null) {
            unansweredRequests.clear();
            unansweredUpdates.clear();
            controller.clientDisconnected(this);
            closedSession.unsentMessages().forEach(this::handleUnsent);
        }
    }

    /** Handles a message that was not sent: an answer is held for the client, an abort is sent on another connection. */
    private void handleUnsent(DiameterMessage unsent) {
        if (unsent.command() == DiameterMessage.ABORT_SESSION && unsent.isRequest()) {
            controller.deliverRelease(unsent.require(Avp.SESSION_ID).text(), this, Outcome.RESET);
        } else if (unsent.command() == DiameterMessage.CREDIT_CONTROL && unsent.find(Avp.SESSION_ID) != null
                && isOfType(unsent, INITIAL)) {
            controller.answerUnsent(unsent.require(Avp.SESSION_ID).text(), this);
        }
    }

    private static boolean isOfType(DiameterMessage message, int requestType) {
        Avp type = message.find(Avp.CC_REQUEST_TYPE);
        return type != null && type.number() == requestType;
    }

    /** Disconnects from the client gracefully. */
    void disconnect() {
        if (session != null) {
            session.disconnect();
        }
    }

    // ---- towards the client

    @Override
    public void answer(String call, byte[] content) {
        sendBack(unansweredRequests.remove(call), DiameterMessage.read(ByteBuffer.wrap(content)));
    }

    @Override
    public void superseded(String call) {
        unansweredRequests.remove(call);
    }

    @Override
    public void forwardReply(String call, byte[] content) {
        DiameterMessage answer = DiameterMessage.read(ByteBuffer.wrap(content));
        DiameterMessage request = unansweredUpdates.remove(answer.endToEnd());
        if (request != null) {
            sendBack(request, answer);
        }
    }

    /** Returns a server's answer unchanged except for the ids, which are those of the client's request. */
    private void sendBack(DiameterMessage request, DiameterMessage answer) {
        session.send(new DiameterMessage(answer.flags(), answer.command(), answer.application(),
                request.hopByHop(), request.endToEnd(), answer.avps()));
    }

    @Override
    public void reject(String call, Duration retryDelay) {
        session.send(answer(unansweredRequests.remove(call), ResultCode.TOO_BUSY, retryDelay));
    }

    @Override
    public void fail(String call) {
        session.send(answer(unansweredRequests.remove(call), ResultCode.UNABLE_TO_DELIVER, Duration.ZERO));
    }

    @Override
    public void release(String call, Outcome outcome) {
        List<Avp> avps = List.of(Avp.of(Avp.SESSION_ID, call), Avp.of(Avp.ORIGIN_HOST, local.host()),
                Avp.of(Avp.ORIGIN_REALM, local.realm()), Avp.of(Avp.DESTINATION_REALM, session.realm()),
                Avp.of(Avp.DESTINATION_HOST, session.peer()),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION));
        int flags = DiameterMessage.REQUEST | DiameterMessage.PROXIABLE;
        session.sendRequest(new DiameterMessage(flags, DiameterMessage.ABORT_SESSION,
                DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, PeerSession.newEndToEnd(scheduler, random), avps), flags,
                avps);
    }

    @Override
    public boolean repeatsRequests() {
        return true;   // RFC 6733, section 5.5.4
    }

    @Override
    public String clientKey() {
        return session.peer();
    }

    @Override
    public boolean isSameClient(ClientPort other) {
        // An answer must not go to a connection of another client.
        return other != null && other.clientKey().equals(session.peer());
    }

    private DiameterMessage answer(DiameterMessage request, int result, Duration retryDelay) {
        List<Avp> avps = new ArrayList<>(List.of(
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION),
                request.require(Avp.CC_REQUEST_TYPE), request.require(Avp.CC_REQUEST_NUMBER)));
        if (retryDelay.compareTo(Duration.ZERO) > 0) {
            // Validity-Time is in seconds, so round up: the client must not retry before the retry delay is over.
            avps.add(Avp.of(Avp.VALIDITY_TIME, (int) retryDelay.plusMillis(999).toSeconds()));
        }
        return request.answer(result, local, avps);
    }

    // ---- from the watchdog

    @Override
    public void sendWatchdog() {
        session.sendWatchdog();
    }

    @Override
    public void failOver() {
        // Requests of a suspect client are still served; its connection is closed if it stays silent.
    }

    @Override
    public void failBack() {
        // failOver() holds nothing back.
    }

    @Override
    public void closeConnection() {
        session.close(CloseReason.WATCHDOG_LOST);
    }

    @Override
    public void attemptOpen() {
        // Clients open the connections.
    }
}
