package pathlane.platform;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import pathlane.config.file.ClientLimits;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.transport.Connection;
import pathlane.transport.FrameDeadline;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;
import pathlane.transport.RateLimiter;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;
import pathlane.wire.ProtocolException;

/**
 * One connection from clients, shared by many calls, each identified by its id. It is closed when it violates the protocol,
 * sends too many invalid requests or too many messages, leaves a message incomplete, or stays idle ({@link ClientLimits}).
 */
public final class ClientSession implements Protocol, ClientPort {

    private static final byte[] EMPTY = {};
    /** Longer than any connection without an established call stays idle. */
    private static final Duration EVICT_LAST_OFFSET = Duration.ofDays(1);

    private final CallController controller;
    private final ClientLimits limits;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final BooleanSupplier isReady;
    private final FrameAssembler assembler = Message.assembler();
    private final FrameDeadline frameDeadline;
    private final RateLimiter messageLimiter;
    private final UnknownReleases unknownReleases;
    private Connection connection;
    private Scheduler.Timer idleTimer;
    /** When the last complete message was received or written. */
    private Instant lastUsed;
    private int invalidRequests;

    /** Creates a session; {@code isReady} is evaluated for each health check that the client sends. */
    public ClientSession(CallController controller, ClientLimits limits, Scheduler scheduler, RateLimitedLog log,
            BooleanSupplier isReady) {
        this.controller = controller;
        this.limits = limits;
        this.scheduler = scheduler;
        this.log = log;
        this.isReady = isReady;
        this.frameDeadline = new FrameDeadline(scheduler, limits.messageTimeout(),
                () -> connection.close(CloseReason.UNFINISHED));
        this.messageLimiter = new RateLimiter(limits.messageBurst(), limits.messageInterval(), scheduler);
        this.unknownReleases = new UnknownReleases(limits.unknownReleaseBurst(), limits.unknownReleaseInterval(), scheduler,
                this::releaseUnknown);
        this.lastUsed = scheduler.now();
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
        controller.clientConnected(this);
        idleTimer = scheduler.after(limits.unusedTimeout(), this::closeIfIdle);
    }

    /**
     * Frees the descriptors of clients that send nothing, or that send one request and keep their connection open
     * indefinitely. A connection with an established call stays open, since the end of the call is reported on it.
     */
    private void closeIfIdle() {
        Duration timeout = controller.hasHadEstablishedCall(this) ? limits.idleTimeout() : limits.unusedTimeout();
        Duration remaining = Duration.between(scheduler.now(), lastUsed.plus(timeout));
        if (controller.openCallsOn(this) > 0 || controller.establishedCallsOn(this) > 0) {
            idleTimer = scheduler.after(timeout, this::closeIfIdle);
        } else if (remaining.compareTo(Duration.ZERO) > 0) {
            idleTimer = scheduler.after(remaining, this::closeIfIdle);
        } else {
            connection.close(CloseReason.IDLE);
        }
    }

    /** A connection with established calls is evicted last, since the ends of these calls are reported on it. */
    @Override
    public Optional<Instant> idleSince() {
        if (controller.openCallsOn(this) > 0) {
            return Optional.empty();
        }
        return Optional.of(controller.establishedCallsOn(this) > 0 ? lastUsed.plus(EVICT_LAST_OFFSET) : lastUsed);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            frameDeadline.bytesReceived(assembler.feed(bytes, frame -> handle(Message.read(frame))),
                    assembler.hasPartialFrame());
        } catch (ProtocolException e) {
            log.warn("client connection {0} closed for invalid input: {1}", connection.remote(), e.getMessage());
            bytes.position(bytes.limit());
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void handle(Message message) {
        lastUsed = scheduler.now();
        if (!messageLimiter.tryAcquire()) {
            // A client that sends at full speed would use up most of the loop's time at the cost of all others.
            throw new ProtocolException("message rate limit exceeded");
        }
        switch (message.type) {
            case Message.CALL_REQUEST -> handleRequest(message);
            case Message.RELEASE -> {
                if (!controller.clientReleased(message.id(), EMPTY, this)) {
                    unknownReleases.add(message.id());
                }
            }
            case Message.HEALTH_CHECK -> connection.write(new Message(Message.HEALTH_CHECK_RESULT, message.callId)
                    .withCause(isReady.getAsBoolean() ? 1 : 0).bytes());
            case Message.PROGRESS, Message.RELEASE_COMPLETE -> {}
            default -> throw new ProtocolException("unexpected message of type " + message.type);
        }
    }

    /** The call may have become known while its release waited in the queue. */
    private void releaseUnknown(String callId) {
        if (!controller.clientReleased(callId, EMPTY, this)) {
            controller.releaseUnknown(callId, EMPTY);
        }
    }

    private void handleRequest(Message message) {
        CallRequest request;
        try {
            request = CallRequestReader.read(message, controller.settings());
        } catch (CallRequestReader.InvalidRequestException e) {
            failInvalid(message, e.getMessage());
            return;
        }
        if (!controller.submit(request, this)) {
            failInvalid(message, "the call id belongs to an open or established call");
        }
    }

    /** Answers an invalid request with a failure; beyond a limit of such requests, the connection is closed. */
    private void failInvalid(Message request, String reason) {
        if (++invalidRequests > limits.maxInvalidRequests() || controller.isOpenOn(request.id(), this)) {
            // With two requests for one id on the same connection, no answer could say which of them it is for.
            throw new ProtocolException(reason);
        }
        log.warn("client {0}: invalid call request: {1}", connection.remote(), reason);
        fail(request.id());
    }

    @Override
    public void closed(CloseReason reason) {
        if (connection != null) {
            frameDeadline.stop();
            idleTimer.cancel();
            controller.clientDisconnected(this);
            connection.unsentMessages().forEach(this::handleUnsent);
        }
    }

    /**
     * Handles a message that the client did not receive, as its close was read just after the write. The end of an
     * established call is reported on another connection; a call with an unsent answer is released.
     */
    private void handleUnsent(byte[] unsent) {
        Message message = Message.read(ByteBuffer.wrap(unsent, Message.LENGTH_BYTES,
                unsent.length - Message.LENGTH_BYTES));
        if (message.type == Message.ANSWER) {
            controller.clientReleased(message.id(), EMPTY, this);
        } else if (message.type == Message.RELEASE && Cause.endsEstablishedCall(message.cause())) {
            controller.deliverRelease(message.id(), this, Cause.outcomeOf(message.cause(), ""));
        }
    }

    // ---- towards the client

    @Override
    public void answer(String callId, byte[] description) {
        write(new Message(Message.ANSWER, callId).with(Message.DESCRIPTION, description));
    }

    @Override
    public void reject(String callId, Duration retryAfter) {
        Message rejection = new Message(Message.RELEASE, callId).withCause(Cause.REJECTED);
        if (retryAfter.toMillis() > 0) {
            rejection.with(Message.RETRY_AFTER, Long.toString(retryAfter.toMillis()));
        }
        write(rejection);
    }

    @Override
    public void fail(String callId) {
        write(new Message(Message.RELEASE, callId).withCause(Cause.FAILED));
    }

    @Override
    public void release(String callId, Outcome outcome) {
        write(new Message(Message.RELEASE, callId).withCause(Cause.ofEstablishedCall(outcome)));
    }

    private void write(Message message) {
        lastUsed = scheduler.now();
        connection.write(message.bytes());
    }
}
