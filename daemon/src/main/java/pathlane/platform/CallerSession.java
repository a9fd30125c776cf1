package pathlane.platform;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import pathlane.config.file.CallerLimits;
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
import pathlane.wire.BadInput;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * One connection from callers: many calls share it, each named by its id. It is closed where it breaks the protocol,
 * asks too often for what can't be, leaves a message unfinished, or is of no use to anybody ({@link CallerLimits}).
 */
public final class CallerSession implements Protocol, ClientPort {

    private static final byte[] NOTHING = {};
    /** Longer than any connection without a call that stands stays idle. */
    private static final Duration GIVES_WAY_LAST = Duration.ofDays(1);

    private final CallController controller;
    private final CallerLimits limits;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final BooleanSupplier ready;
    private final FrameAssembler assembler = Message.assembler();
    private final FrameDeadline unfinished;
    private final RateLimiter messages;
    private final UnknownReleases unknownReleases;
    private Connection connection;
    private Scheduler.Timer idle;
    /** When the last whole message came or left. */
    private Instant used;
    private int faults;

    /** {@code ready} is asked at each test. */
    public CallerSession(CallController controller, CallerLimits limits, Scheduler scheduler, RateLimitedLog log,
            BooleanSupplier ready) {
        this.controller = controller;
        this.limits = limits;
        this.scheduler = scheduler;
        this.log = log;
        this.ready = ready;
        this.unfinished = new FrameDeadline(scheduler, limits.unfinished(),
                () -> connection.close(CloseReason.UNFINISHED));
        this.messages = new RateLimiter(limits.messages(), limits.messageEvery(), scheduler);
        this.unknownReleases = new UnknownReleases(limits.unknownReleases(), limits.unknownReleaseEvery(), scheduler,
                this::releaseUnknown);
        this.used = scheduler.now();
    }

    @Override
    public void opened(Connection up) {
        connection = up;
        controller.clientConnected(this);
        idle = scheduler.after(limits.unused(), this::closeIfIdle);
    }

    /**
     * Guards the descriptors against callers that say nothing, and those that ask once and keep their connection for
     * good. A call that stands keeps its connection: its end is told there.
     */
    private void closeIfIdle() {
        Duration most = controller.hasServed(this) ? limits.idle() : limits.unused();
        Duration left = Duration.between(scheduler.now(), used.plus(most));
        if (controller.openCallsOn(this) > 0 || controller.establishedCallsOn(this) > 0) {
            idle = scheduler.after(most, this::closeIfIdle);
        } else if (left.compareTo(Duration.ZERO) > 0) {
            idle = scheduler.after(left, this::closeIfIdle);
        } else {
            connection.close(CloseReason.IDLE);
        }
    }

    /** A connection whose calls stand gives way last: their ends are told there. */
    @Override
    public Optional<Instant> idleSince() {
        if (controller.openCallsOn(this) > 0) {
            return Optional.empty();
        }
        return Optional.of(controller.establishedCallsOn(this) > 0 ? used.plus(GIVES_WAY_LAST) : used);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            unfinished.bytesReceived(assembler.feed(bytes, frame -> message(Message.read(frame))), assembler.begun());
        } catch (BadInput e) {
            log.warn("caller {0} closed for bad input: {1}", connection.remote(), e.getMessage());
            bytes.position(bytes.limit());
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void message(Message message) {
        used = scheduler.now();
        if (!messages.tryAcquire()) {
            // Guards the usual callers' time: whoever sends at full speed would have most of it.
            throw new BadInput("too many messages");
        }
        switch (message.type) {
            case Message.SET_UP -> setUp(message);
            case Message.RELEASE -> {
                if (!controller.clientReleased(message.id(), NOTHING, this)) {
                    unknownReleases.add(message.id());
                }
            }
            case Message.TEST -> connection.write(new Message(Message.TEST_RESULT, message.call)
                    .withCause(ready.getAsBoolean() ? 1 : 0).bytes());
            case Message.PROGRESS, Message.RELEASE_HEARD -> {}
            default -> throw new BadInput("a message of type " + message.type);
        }
    }

    /** Its call may have become known while the release waited. */
    private void releaseUnknown(String call) {
        if (!controller.clientReleased(call, NOTHING, this)) {
            controller.releaseUnknown(call);
        }
    }

    private void setUp(Message message) {
        CallRequest asked;
        try {
            asked = SetUpReader.read(message, controller.settings());
        } catch (SetUpReader.Unusable e) {
            fault(message, e.getMessage());
            return;
        }
        if (!controller.submit(asked, this)) {
            fault(message, "the id of a call that is open or stands");
        }
    }

    /** A set-up that can't be used has failed; who goes on sending such loses the connection. */
    private void fault(Message setUp, String why) {
        if (++faults > limits.faults() || controller.isOpenOn(setUp.id(), this)) {
            // Where two set-ups on one connection have one id, no answer could say which it is for.
            throw new BadInput(why);
        }
        log.warn("caller {0}: a set-up that can''t be used: {1}", connection.remote(), why);
        fail(setUp.id());
    }

    @Override
    public void closed(CloseReason end) {
        if (connection != null) {
            unfinished.stop();
            idle.cancel();
            controller.clientDisconnected(this);
            connection.unsentMessages().forEach(this::undelivered);
        }
    }

    /**
     * Guards calls against the close of a connection that was read just after something was written there: the end of a
     * call that stood is told on another connection, and a call whose answer never left stands for nobody.
     */
    private void undelivered(byte[] written) {
        Message message = Message.read(ByteBuffer.wrap(written, Message.LENGTH_BYTES,
                written.length - Message.LENGTH_BYTES));
        if (message.type == Message.ANSWER) {
            controller.clientReleased(message.id(), NOTHING, this);
        } else if (message.type == Message.RELEASE && Cause.endsStanding(message.cause())) {
            controller.deliverRelease(message.id(), this, Cause.ending(message.cause(), ""));
        }
    }

    // ---- towards the caller

    @Override
    public void answer(String call, byte[] description) {
        write(new Message(Message.ANSWER, call).with(Message.DESCRIPTION, description));
    }

    @Override
    public void reject(String call, Duration comeBackAfter) {
        Message refusal = new Message(Message.RELEASE, call).withCause(Cause.TURNED_AWAY);
        if (comeBackAfter.toMillis() > 0) {
            refusal.with(Message.COME_BACK, Long.toString(comeBackAfter.toMillis()));
        }
        write(refusal);
    }

    @Override
    public void fail(String call) {
        write(new Message(Message.RELEASE, call).withCause(Cause.FAILED));
    }

    @Override
    public void release(String call, Outcome how) {
        write(new Message(Message.RELEASE, call).withCause(Cause.ofRelease(how)));
    }

    private void write(Message message) {
        used = scheduler.now();
        connection.write(message.bytes());
    }
}
