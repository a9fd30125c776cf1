package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.Status;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.grpc.Endings.StreamEnd;

/**
 * One attempt of a call: one stream to the one server that the module chose. Whether its call stands is decided once,
 * by whoever comes first: the transport's thread that hears the answer, or the turn that gives the attempt up.
 */
final class Attempt<Q, R> extends ClientCall.Listener<R> {

    /** By this the picker knows the attempt and its server. */
    static final CallOptions.Key<Attempt<?, ?>> KEY = CallOptions.Key.create("pathlane-attempt");
    static final Metadata.Key<String> PREVIOUS_ATTEMPTS =
            Metadata.Key.of("grpc-previous-rpc-attempts", Metadata.ASCII_STRING_MARSHALLER);

    static final Status HEDGED = Status.FAILED_PRECONDITION.withDescription("the channel's service config hedges this"
            + " method: pathlane makes the attempts itself, so take the hedgingPolicy out");

    /** What an attempt has come to. */
    enum State { OUT, STOOD, GIVEN_UP, ENDED }

    final PluginCall<Q, R> owner;
    final ServerPath path;
    private final Duration patience;
    private final AtomicReference<State> state = new AtomicReference<>(State.OUT);
    private final AtomicInteger streams = new AtomicInteger();
    private volatile boolean neverSent;
    private volatile boolean fromServer;
    private volatile ClientCall<Q, R> call;
    private Scheduler.Timer dial;
    private Metadata heldHeaders;

    Attempt(PluginCall<Q, R> owner, ServerPath path, Duration patience) {
        this.owner = owner;
        this.path = path;
        this.patience = patience;
    }

    // ---- in the plug-in's turn

    /** Leaves now, or once the server's connection is up; one that does not come up in time ends the attempt. */
    void begin(Duration dialTimeout) {
        if (path.isReady()) {
            leave();
        } else if (!path.mayComeUp()) {
            owner.later(this::neverLeft);
        } else {
            dial = owner.time().after(dialTimeout, () -> {
                path.awaitsNoMore(this);
                neverLeft();
            });
            path.await(this);
        }
    }

    void leave() {
        stopDial();
        CallOptions options = owner.options.withOption(KEY, this).withoutWaitForReady()
                .withStreamTracerFactory(new Tracers());
        if (owner.method.getType().serverSendsOneMessage()) {
            // What the attempt may take is what is left. A stream may last beyond the time in which it must stand.
            Deadline own = Deadline.after(patience.toNanos(), TimeUnit.NANOSECONDS);
            options = options.withDeadline(options.getDeadline() == null ? own : options.getDeadline().minimum(own));
        }
        Context before = owner.context.attach();
        try {
            ClientCall<Q, R> started = owner.next.newCall(owner.method, options);
            call = started;
            started.start(this, owner.headersOfAttempt());
            owner.replay(started);
        } finally {
            owner.context.detach(before);
        }
    }

    /** It could not be sent: its server has no connection and gets none in time. */
    void neverLeft() {
        stopDial();
        if (state.compareAndSet(State.OUT, State.ENDED)) {
            owner.attemptEnded(this, new StreamEnd(Status.Code.UNAVAILABLE, false, true, Optional.empty()),
                    Status.UNAVAILABLE.withDescription("no connection to the session server"), new Metadata());
        }
    }

    private void stopDial() {
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
    }

    /** Nobody waits for it any more. False: its call stood before, and the answer is on its way. */
    boolean giveUp() {
        stopDial();
        path.awaitsNoMore(this);
        if (!state.compareAndSet(State.OUT, State.GIVEN_UP)) {
            return false;
        }
        if (call != null) {
            call.cancel("given up by the call controller", null);
        }
        return true;
    }

    boolean hasLeft() {
        return call != null;
    }

    /** Whether the channel itself ended it, before it could become a stream: it is shut down, or has no resolver. */
    boolean endedByChannel() {
        return streams.get() == 0 && call != null;
    }

    ClientCall<Q, R> call() {
        return call;
    }

    // ---- on any thread

    /** The picker is asked for this attempt's way. Only one stream may leave for it, whoever asks for a second. */
    Status whyNot() {
        if (streams.get() > 1) {
            return Status.UNAVAILABLE.withDescription("pathlane makes the attempts itself");
        }
        if (path.isReady()) {
            return null;
        }
        neverSent = true;
        return Status.UNAVAILABLE.withDescription("the connection to the session server has gone");
    }

    /** The answer has come: from now on the call is this attempt's, unless it was given up before. */
    private void stood() {
        if (state.compareAndSet(State.OUT, State.STOOD)) {
            owner.stood(this);
        }
    }

    private final class Tracers extends ClientStreamTracer.Factory {

        @Override
        public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
            if (info.isHedging()) {
                owner.seenHedging();
            }
            return streams.incrementAndGet() == 1 ? new Tracer() : new ClientStreamTracer() {};
        }
    }

    /** On the transport's thread, so that a busy application makes no server look slow. */
    private final class Tracer extends ClientStreamTracer {

        @Override
        public void inboundHeaders(Metadata headers) {
            if (!owner.method.getType().serverSendsOneMessage()) {
                stood();
            }
        }

        @Override
        public void inboundMessage(int number) {
            stood();
        }

        @Override
        public void inboundTrailers(Metadata trailers) {
            fromServer = true;
        }
    }

    // ---- the stream's own callbacks, one at a time, on the application's executor

    @Override
    public void onHeaders(Metadata headers) {
        heldHeaders = headers;
        if (state.get() == State.STOOD) {
            passHeaders();
        }
    }

    private void passHeaders() {
        if (heldHeaders != null) {
            Metadata headers = heldHeaders;
            heldHeaders = null;
            owner.listener().onHeaders(headers);
        }
    }

    @Override
    public void onMessage(R message) {
        stood();   // a transport that tells no tracer
        if (state.get() == State.STOOD) {
            passHeaders();
            owner.listener().onMessage(message);
        }
    }

    @Override
    public void onReady() {
        if (state.get() == State.OUT || state.get() == State.STOOD) {
            owner.listener().onReady();
        }
    }

    @Override
    public void onClose(Status status, Metadata trailers) {
        boolean neverRan = neverSent || streams.get() > 1 && !fromServer;
        StreamEnd end = new StreamEnd(status.getCode(), fromServer, neverRan,
                Optional.ofNullable(trailers.get(Endings.PUSHBACK)));
        if (Endings.ofAttempt(end) == Outcome.COMPLETED) {
            stood();
        }
        if (state.get() == State.STOOD) {
            passHeaders();
            owner.closed(this, end, status, trailers);
        } else if (state.compareAndSet(State.OUT, State.ENDED)) {
            owner.later(() -> owner.attemptEnded(this, end, status, trailers));
        }
    }
}
