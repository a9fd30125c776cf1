package pathlane.diameter;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pathlane.config.file.CallerLimits;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.FrameDeadline;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimiter;

/**
 * One connection with a peer: capabilities exchange, the base protocol's own requests, and the ids that pair
 * answers with requests. What concerns calls goes to its {@link Handler}.
 */
final class PeerSession implements Protocol {

    /** What a connection brings to those above it. */
    interface Handler {
        /** The capabilities are exchanged. Says why the peer is not wanted by a result code, or success. */
        int accept(String host);

        void opened(PeerSession session);

        /** A request of the application, or an abort; its faults are answered. */
        void request(PeerSession session, DiameterMessage request);

        /** An answer of the application. */
        void answer(PeerSession session, DiameterMessage answer);

        /** A sign of life; {@code watchdog} where it is the answer to a watchdog. */
        void messageReceived(boolean watchdog);

        void closed(PeerSession session, CloseReason end);
    }

    enum State { CONNECTING, EXCHANGING, OPEN, CLOSING, CLOSED }

    private static final Logger LOG = System.getLogger("diameter");
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(5);
    private static final String UNKNOWN = "?";
    private static final int REBOOTING = 0;
    private static final int END_TO_END_RANDOM_BITS = 20;
    /** Requests of the base protocol, and answers of ours, belong to application nought. */
    private static final int BASE = 0;

    private final boolean dialled;
    private final LocalNode local;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Handler handler;
    private final DiameterFrames frames = new DiameterFrames();
    private final FrameDeadline unfinished;
    private final RateLimiter messages;
    private Connection connection;
    private State state = State.CONNECTING;
    private Scheduler.Timer exchange;
    private final Instant createdAt;
    private int nextHopByHop;
    private String peer = UNKNOWN;
    private String realm = "";

    /** {@code dialled} where this node opened the connection and so asks first. */
    PeerSession(boolean dialled, LocalNode local, Scheduler scheduler, RandomGenerator random, Handler handler) {
        this.dialled = dialled;
        this.local = local;
        this.scheduler = scheduler;
        this.random = random;
        this.handler = handler;
        this.nextHopByHop = random.nextInt();
        CallerLimits limits = local.limits();
        this.unfinished = new FrameDeadline(scheduler, limits.unfinished(),
                () -> connection.close(CloseReason.UNFINISHED));
        this.messages = new RateLimiter(limits.messages(), limits.messageEvery(), scheduler);
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

    @Override
    public void opened(Connection up) {
        connection = up;
        state = State.EXCHANGING;
        // Guards the descriptors against clients that connect and say nothing.
        exchange = dialled
                ? scheduler.after(EXCHANGE_TIMEOUT, () -> connection.close(CloseReason.CONNECT_TIMED_OUT))
                : scheduler.after(local.limits().unused(), () -> connection.close(CloseReason.IDLE));
        if (dialled) {
            send(base(DiameterMessage.CAPABILITIES_EXCHANGE, local.introduction()));
        }
    }

    /** A peer that has exchanged its capabilities keeps its connection: its watchdogs tell whether it is there. */
    @Override
    public Optional<Instant> idleSince() {
        return state == State.OPEN ? Optional.empty() : Optional.of(createdAt);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            unfinished.bytesReceived(frames.feed(bytes, this::frame), frames.begun());
        } catch (Fault e) {
            // The stream can't be followed any further; a message that is whole is answered in frame().
            local.log().warn("peer {0} closed for bad input: {1}", peer, e.getMessage());
            bytes.position(bytes.limit());
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void frame(ByteBuffer frame) {
        if (state == State.CLOSED) {
            return;
        }
        if (!dialled && !messages.tryAcquire()) {
            // Guards the usual clients' time; a peer that this node dials sends what it is asked for.
            throw new Fault(ResultCode.TOO_BUSY, null, "too many messages");
        }
        DiameterMessage head = DiameterMessage.readHead(frame.duplicate());
        DiameterMessage message = head;
        try {
            message = DiameterMessage.read(frame);
            if (message.isRequest()) {
                request(message);
            } else {
                answer(message);
            }
        } catch (Fault e) {
            local.log().warn("peer {0}: {1}", peer, e.getMessage());
            if (!head.isRequest()) {
                return;   // a bad answer is dropped: its request comes to its end by time-out
            }
            List<Avp> failed = e.failed() == null ? List.of() : List.of(Avp.of(Avp.FAILED_AVP, e.failed()));
            send(message.answer(e.resultCode(), local, failed));
            if (state == State.EXCHANGING) {
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
        }
    }

    private void request(DiameterMessage request) {
        boolean exchanges = request.command() == DiameterMessage.CAPABILITIES_EXCHANGE;
        if (state == State.EXCHANGING && (dialled || !exchanges)) {
            local.log().warn("peer {0} closed: command {1} before its capabilities", connection.remote(),
                    request.command());
            connection.close(CloseReason.PROTOCOL_ERROR);
            return;
        }
        handler.messageReceived(false);
        switch (request.command()) {
            case DiameterMessage.CAPABILITIES_EXCHANGE -> capabilitiesAsked(request);
            case DiameterMessage.DEVICE_WATCHDOG -> send(request.answer(ResultCode.SUCCESS, local, List.of()));
            case DiameterMessage.DISCONNECT_PEER -> {
                send(request.answer(ResultCode.SUCCESS, local, List.of()));
                LOG.log(Level.INFO, "peer {0} asked to part", peer);
                state = State.CLOSING;
                connection.close(CloseReason.DISCONNECTED);
            }
            case DiameterMessage.CREDIT_CONTROL, DiameterMessage.ABORT_SESSION -> {
                if (request.application() != DiameterMessage.CREDIT_CONTROL_APPLICATION) {
                    throw new Fault(ResultCode.APPLICATION_UNSUPPORTED, null,
                            "application " + request.application());
                }
                handler.request(this, request);
            }
            default -> throw new Fault(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
    }

    private void capabilitiesAsked(DiameterMessage request) {
        String host = request.require(Avp.ORIGIN_HOST).text();
        realm = request.require(Avp.ORIGIN_REALM).text();
        int result = sharesApplication(request) ? handler.accept(host) : ResultCode.NO_COMMON_APPLICATION;
        send(request.answer(result, local, local.introduction()));
        if (result != ResultCode.SUCCESS) {
            local.log().warn("peer {0} turned away with result {1}", host, Integer.toString(result));
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
        exchange.cancel();
        peer = host;
        state = State.OPEN;
        LOG.log(Level.INFO, "peer {0} at {1} is open", peer, connection.remote());
        handler.opened(this);
    }

    private void answer(DiameterMessage answer) {
        if (state == State.EXCHANGING) {
            if (answer.command() != DiameterMessage.CAPABILITIES_EXCHANGE || !dialled) {
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            int result = answer.require(Avp.RESULT_CODE).number();
            String host = answer.require(Avp.ORIGIN_HOST).text();
            realm = answer.require(Avp.ORIGIN_REALM).text();
            if (result == ResultCode.SUCCESS && sharesApplication(answer)
                    && handler.accept(host) == ResultCode.SUCCESS) {
                open(host);
            } else {
                local.log().warn("peer {0} did not agree: result {1}", host, Integer.toString(result));
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

    /** Sends a request of the application over this hop; returns the id that its answer will bear. */
    int sendRequest(DiameterMessage request, int flags, List<Avp> avps) {
        int hopByHop = nextHopByHop++;
        send(request.withHop(hopByHop, flags, avps));
        return hopByHop;
    }

    void send(DiameterMessage message) {
        connection.write(message.bytes());
    }

    void sendWatchdog() {
        send(base(DiameterMessage.DEVICE_WATCHDOG, List.of()));
    }

    /** Asks the peer to part in order; it closes once the peer agrees. */
    void disconnect() {
        if (state == State.OPEN) {
            state = State.CLOSING;
            send(base(DiameterMessage.DISCONNECT_PEER, List.of(Avp.of(Avp.DISCONNECT_CAUSE, REBOOTING))));
        }
    }

    void close(CloseReason why) {
        if (connection != null) {
            connection.close(why);
        }
    }

    /** A new id for the whole way: the low bits of the time above chance (RFC 6733, section 3). */
    static int newEndToEnd(Scheduler scheduler, RandomGenerator random) {
        return (int) scheduler.now().getEpochSecond() << END_TO_END_RANDOM_BITS
                | random.nextInt(1 << END_TO_END_RANDOM_BITS);
    }

    private DiameterMessage base(int command, List<Avp> more) {
        List<Avp> avps = new ArrayList<>(List.of(Avp.of(Avp.ORIGIN_HOST, local.host()),
                Avp.of(Avp.ORIGIN_REALM, local.realm())));
        avps.addAll(more);
        return new DiameterMessage(DiameterMessage.REQUEST, command, BASE, nextHopByHop++,
                newEndToEnd(scheduler, random), avps);
    }

    @Override
    public void closed(CloseReason end) {
        state = State.CLOSED;
        unfinished.stop();
        if (exchange != null) {
            exchange.cancel();
        }
        if (!dialled && peer.equals(UNKNOWN)) {
            local.log().warn("connection closed before its capabilities: {0}", end);
        } else if (!dialled) {
            LOG.log(Level.INFO, "peer {0} is closed: {1}", peer, end);
        }
        handler.closed(this, end);
    }
}
