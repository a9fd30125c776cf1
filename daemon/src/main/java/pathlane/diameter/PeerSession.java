package pathlane.diameter;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import pathlane.config.file.ClientLimits;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.FrameDeadline;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimiter;

/**
 * One connection with a peer: capabilities exchange, requests of the base protocol, and the ids that match answers to
 * requests. Messages that concern calls go to its {@link Handler}.
 */
final class PeerSession implements Protocol {

    /** Receives the events of a connection. */
    interface Handler {
        /** Decides during the capabilities exchange whether to accept the peer: returns success or an error result code. */
        int accept(String host);

        void opened(PeerSession session);

        /** Handles an application request or an abort; a {@link DiameterException} that it throws is answered. */
        void request(PeerSession session, DiameterMessage request);

        /** An answer of the application. */
        void answer(PeerSession session, DiameterMessage answer);

        /** Any message arrived; {@code isWatchdogAnswer} if it is a watchdog answer. */
        void messageReceived(boolean isWatchdogAnswer);

        void closed(PeerSession session, CloseReason reason);
    }

    enum State { CONNECTING, EXCHANGING, OPEN, CLOSING, CLOSED }

    private static final Logger LOG = System.getLogger("diameter");
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(5);
    private static final String UNKNOWN_PEER = "?";
    private static final int DISCONNECT_CAUSE_REBOOTING = 0;
    private static final int END_TO_END_RANDOM_BITS = 20;
    /** The application id of the base protocol. */
    private static final int BASE_APPLICATION = 0;

    private final boolean isInitiator;
    private final LocalNode local;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Handler handler;
    private final DiameterFrameDecoder frameDecoder = new DiameterFrameDecoder();
    private final FrameDeadline frameDeadline;
    private final RateLimiter messageLimiter;
    private Connection connection;
    private State state = State.CONNECTING;
    private Scheduler.Timer exchangeTimer;
    private final Instant createdAt;
    private int nextHopByHop;
    private String peer = UNKNOWN_PEER;
    private String realm = "";
    private OptionalInt originStateId = OptionalInt.empty();

    /** {@code isInitiator} if this node opened the connection and therefore starts the capabilities exchange. */
    PeerSession(boolean isInitiator, LocalNode local, Scheduler scheduler, RandomGenerator random, Handler handler) {
        this.isInitiator = isInitiator;
        this.local = local;
        this.scheduler = scheduler;
        this.random = random;
        this.handler = handler;
        this.nextHopByHop = random.nextInt();
        ClientLimits limits = local.limits();
        this.frameDeadline = new FrameDeadline(scheduler, limits.messageTimeout(),
                () -> connection.close(CloseReason.UNFINISHED));
        this.messageLimiter = new RateLimiter(limits.messageBurst(), limits.messageInterval(), scheduler);
        this.createdAt = scheduler.now();
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    String peer() {
        return peer;
    }

    String realm() {
        return realm;
    }

    /** The state that the peer announced in the capabilities exchange: it grows each time the peer loses its sessions. */
    OptionalInt originStateId() {
        return originStateId;
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
        state = State.EXCHANGING;
        // Frees the descriptors of clients that connect and send nothing.
        exchangeTimer = isInitiator
                ? scheduler.after(EXCHANGE_TIMEOUT, () -> connection.close(CloseReason.CONNECT_TIMED_OUT))
                : scheduler.after(local.limits().unusedTimeout(), () -> connection.close(CloseReason.IDLE));
        if (isInitiator) {
            send(baseRequest(DiameterMessage.CAPABILITIES_EXCHANGE, local.capabilities()));
        }
    }

    /** Never idle once capabilities are exchanged: from then on the watchdog detects whether the peer is alive. */
    @Override
    public Optional<Instant> idleSince() {
        return state == State.OPEN ? Optional.empty() : Optional.of(createdAt);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            frameDeadline.bytesReceived(frameDecoder.decode(bytes, this::handleFrame), frameDecoder.hasPartialMessage());
        } catch (DiameterException e) {
            // The stream can't be parsed any further. Errors within a complete message are answered in frame().
            local.log().warn("peer {0} closed for bad input: {1}", peer, e.getMessage());
            bytes.position(bytes.limit());
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void handleFrame(ByteBuffer frame) {
        if (state == State.CLOSED) {
            return;
        }
        if (!isInitiator && !messageLimiter.tryAcquire()) {
            // Keeps one client from taking the processing time of others; server peers send only what was requested.
            throw new DiameterException(ResultCode.TOO_BUSY, null, "too many messages");
        }
        DiameterMessage header = DiameterMessage.readHeader(frame.duplicate());
        DiameterMessage message = header;
        try {
            message = DiameterMessage.read(frame);
            if (message.isRequest()) {
                handleRequest(message);
            } else {
                handleAnswer(message);
            }
        } catch (DiameterException e) {
            local.log().warn("peer {0}: {1}", peer, e.getMessage());
            if (!header.isRequest()) {
                return;   // an invalid answer is dropped, and its request times out
            }
            List<Avp> failedAvps = e.failedAvp() == null ? List.of() : List.of(Avp.of(Avp.FAILED_AVP, e.failedAvp()));
            send(message.answer(e.resultCode(), local, failedAvps));
            if (state == State.EXCHANGING) {
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
        }
    }

    private void handleRequest(DiameterMessage request) {
        boolean isCapabilitiesExchange = request.command() == DiameterMessage.CAPABILITIES_EXCHANGE;
        if (state == State.EXCHANGING && (isInitiator || !isCapabilitiesExchange)) {
            local.log().warn("peer {0} closed: command {1} before the capabilities exchange", connection.remote(),
                    request.command());
            connection.close(CloseReason.PROTOCOL_ERROR);
            return;
        }
        handler.messageReceived(false);
        switch (request.command()) {
            case DiameterMessage.CAPABILITIES_EXCHANGE -> answerCapabilitiesExchange(request);
            case DiameterMessage.DEVICE_WATCHDOG -> send(request.answer(ResultCode.SUCCESS, local, List.of()));
            case DiameterMessage.DISCONNECT_PEER -> {
                send(request.answer(ResultCode.SUCCESS, local, List.of()));
                LOG.log(Level.INFO, "peer {0} requested to disconnect", peer);
                state = State.CLOSING;
                connection.close(CloseReason.DISCONNECTED);
            }
            case DiameterMessage.CREDIT_CONTROL, DiameterMessage.ABORT_SESSION -> {
                if (request.application() != DiameterMessage.CREDIT_CONTROL_APPLICATION) {
                    throw new DiameterException(ResultCode.APPLICATION_UNSUPPORTED, null,
                            "application " + request.application());
                }
                handler.request(this, request);
            }
            default -> throw new DiameterException(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
    }

    private void answerCapabilitiesExchange(DiameterMessage request) {
        String host = request.require(Avp.ORIGIN_HOST).text();
        realm = request.require(Avp.ORIGIN_REALM).text();
        int result = sharesApplication(request) ? handler.accept(host) : ResultCode.NO_COMMON_APPLICATION;
        send(request.answer(result, local, local.capabilities()));
        if (result != ResultCode.SUCCESS) {
            local.log().warn("peer {0} rejected with result {1}", host, Integer.toString(result));
            connection.close(CloseReason.PROTOCOL_ERROR);
        } else if (state == State.EXCHANGING) {
            open(host);
        }
    }

    private static boolean sharesApplication(DiameterMessage message) {
        return message.avps().stream().filter(avp -> avp.code() == Avp.AUTH_APPLICATION_ID)
                .anyMatch(avp -> avp.number() == DiameterMessage.CREDIT_CONTROL_APPLICATION
                        || avp.number() == DiameterMessage.RELAY_APPLICATION);
    }

    private void open(String host) {
        exchangeTimer.cancel();
        peer = host;
        state = State.OPEN;
        LOG.log(Level.INFO, "peer {0} at {1} is open", peer, connection.remote());
        handler.opened(this);
    }

    private void handleAnswer(DiameterMessage answer) {
        if (state == State.EXCHANGING) {
            if (answer.command() != DiameterMessage.CAPABILITIES_EXCHANGE || !isInitiator) {
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            int result = answer.require(Avp.RESULT_CODE).number();
            String host = answer.require(Avp.ORIGIN_HOST).text();
            realm = answer.require(Avp.ORIGIN_REALM).text();
            Avp state = answer.find(Avp.ORIGIN_STATE_ID);
            originStateId = state == null ? OptionalInt.empty() : OptionalInt.of(state.number());
            if (result == ResultCode.SUCCESS && sharesApplication(answer)
                    && handler.accept(host) == ResultCode.SUCCESS) {
                open(host);
            } else {
                local.log().warn("capabilities exchange with peer {0} failed: result {1}", host, Integer.toString(result));
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
            return;
        }
        handler.messageReceived(answer.command() == DiameterMessage.DEVICE_WATCHDOG);
        if (answer.command() == DiameterMessage.CREDIT_CONTROL) {
            handler.answer(this, answer);
        } else if (answer.command() == DiameterMessage.DISCONNECT_PEER) {
            connection.close(CloseReason.DISCONNECTED);
        }
    }

    // ---- towards the peer

    /** Sends an application request over this hop; returns its hop-by-hop id, which its answer will carry. */
    int sendRequest(DiameterMessage request, int flags, List<Avp> avps) {
        int hopByHop = nextHopByHop++;
        send(request.withHop(hopByHop, flags, avps));
        return hopByHop;
    }

    void send(DiameterMessage message) {
        connection.write(message.bytes());
    }

    void sendWatchdog() {
        send(baseRequest(DiameterMessage.DEVICE_WATCHDOG, List.of()));
    }

    /** The messages that were not sent before the connection ended. */
    List<DiameterMessage> unsentMessages() {
        return connection == null ? List.of()
                : connection.unsentMessages().stream().map(bytes -> DiameterMessage.read(ByteBuffer.wrap(bytes))).toList();
    }

    /** Requests a graceful disconnect; the connection is closed when the peer answers. */
    void disconnect() {
        if (state == State.OPEN) {
            state = State.CLOSING;
            send(baseRequest(DiameterMessage.DISCONNECT_PEER,
                    List.of(Avp.of(Avp.DISCONNECT_CAUSE, DISCONNECT_CAUSE_REBOOTING))));
        }
    }

    void close(CloseReason reason) {
        if (connection != null) {
            connection.close(reason);
        }
    }

    /** A new end-to-end id: low bits of the time in the high part, random bits in the low part (RFC 6733, section 3). */
    static int newEndToEnd(Scheduler scheduler, RandomGenerator random) {
        return (int) scheduler.now().getEpochSecond() << END_TO_END_RANDOM_BITS
                | random.nextInt(1 << END_TO_END_RANDOM_BITS);
    }

    private DiameterMessage baseRequest(int command, List<Avp> additionalAvps) {
        List<Avp> avps = new ArrayList<>(List.of(Avp.of(Avp.ORIGIN_HOST, local.host()),
                Avp.of(Avp.ORIGIN_REALM, local.realm())));
        avps.addAll(additionalAvps);
        return new DiameterMessage(DiameterMessage.REQUEST, command, BASE_APPLICATION, nextHopByHop++,
                newEndToEnd(scheduler, random), avps);
    }

    @Override
    public void closed(CloseReason reason) {
        state = State.CLOSED;
        frameDeadline.stop();
        if (exchangeTimer != null) {
            exchangeTimer.cancel();
        }
        if (!isInitiator && peer.equals(UNKNOWN_PEER)) {
            local.log().warn("connection closed before the capabilities exchange: {0}", reason);
        } else if (!isInitiator) {
            LOG.log(Level.INFO, "peer {0} is closed: {1}", peer, reason);
        }
        handler.closed(this, reason);
    }
}
