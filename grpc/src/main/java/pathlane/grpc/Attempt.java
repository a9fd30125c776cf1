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
import pathlane.grpc.StreamOutcomes.StreamEnd;

/**
 * One attempt of a call: one stream to the server that the controller has chosen. It is either established or abandoned,
 * whichever happens first: the transport's thread receives the answer, or the engine cancels the attempt.
 */
final class Attempt<Q, R> extends ClientCall.Listener<R> {

    /** The call option by which the picker finds the attempt and its server. */
    static final CallOptions.Key<Attempt<?, ?>> KEY = CallOptions.Key.create("pathlane-attempt");
    static final Metadata.Key<String> PREVIOUS_ATTEMPTS =
            Metadata.Key.of("grpc-previous-rpc-attempts", Metadata.ASCII_STRING_MARSHALLER);

    static final Status HEDGING_UNSUPPORTED = Status.FAILED_PRECONDITION.withDescription(
            "the channel's service config has a hedgingPolicy for this"
                    + " method: pathlane makes the attempts itself, so remove the hedgingPolicy");

    /** The state of an attempt. All but PENDING are final. */
    enum State { PENDING, ESTABLISHED, ABANDONED, ENDED }

    final PluginCall<Q, R> owner;
    final ServerPath path;
    private final Duration remainingDeadline;
    private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);
    private final AtomicInteger streamCount = new AtomicInteger();
    private volatile boolean neverSent;
    private volatile boolean fromServer;
    private volatile ClientCall<Q, R> call;
    private Scheduler.Timer connectTimer;
    private Metadata bufferedHeaders;

    Attempt(PluginCall<Q, R> owner, ServerPath path, Duration remainingDeadline) {
        this.owner = owner;
        this.path = path;
        this.remainingDeadline = remainingDeadline;
    }

    // ---- in the engine's context

    /** Sends the attempt now or as soon as the server's connection is ready. The attempt ends if that takes too long. */
    void startOrWait(Duration connectTimeout) {
        if (path.isReady()) {
            send();
        } else if (!path.mayConnect()) {
            owner.runInEngine(this::endUnsent);
        } else {
            connectTimer = owner.scheduler().after(connectTimeout, () -> {
                path.removeWaiting(this);
                endUnsent();
            });
            path.addWaiting(this);
        }
    }

    void send() {
        cancelConnectTimer();
        CallOptions options = owner.options.withOption(KEY, this).withoutWaitForReady()
                .withStreamTracerFactory(new TracerFactory());
        if (owner.method.getType().serverSendsOneMessage()) {
            // A unary attempt must end within the remaining deadline. A stream may outlast the time to be established.
            Deadline attemptDeadline = Deadline.after(remainingDeadline.toNanos(), TimeUnit.NANOSECONDS);
            options = options.withDeadline(
                    options.getDeadline() == null ? attemptDeadline : options.getDeadline().minimum(attemptDeadline));
        }
        Context previousContext = owner.context.attach();
        try {
            ClientCall<Q, R> stream = owner.next.newCall(owner.method, options);
            call = stream;
            stream.start(this, owner.attemptHeaders());
            owner.replay(stream);
        } finally {
            owner.context.detach(previousContext);
        }
    }

    /** Ends an attempt that can't be sent because its server has no connection and gets none in time. */
    void endUnsent() {
        cancelConnectTimer();
        if (state.compareAndSet(State.PENDING, State.ENDED)) {
            owner.attemptEnded(this, new StreamEnd(Status.Code.UNAVAILABLE, false, true, Optional.empty()),
                    Status.UNAVAILABLE.withDescription("no connection to the session server"), new Metadata());
        }
    }

    private void cancelConnectTimer() {
        if (connectTimer != null) {
            connectTimer.cancel();
            connectTimer = null;
        }
    }

    /**
     * Abandons the attempt unless it is established. One whose stream has already ended without an answer, with its end
     * still queued for the engine, counts as abandoned: the owner drops that end, and nothing else would end its call.
     *
     * @return false if the attempt is established, so that its answer is about to be delivered
     */
    boolean abandon() {
        cancelConnectTimer();
        path.removeWaiting(this);
        if (state.compareAndSet(State.PENDING, State.ABANDONED) && call != null) {
            call.cancel("attempt cancelled by the call controller", null);
        }
        return state.get() != State.ESTABLISHED;
    }

    boolean isSent() {
        return call != null;
    }

    /** Returns whether the channel ended it before it became a stream, because it is shut down or has no resolver. */
    boolean wasEndedByChannel() {
        return streamCount.get() == 0 && call != null;
    }

    ClientCall<Q, R> call() {
        return call;
    }

    // ---- on any thread

    /** Returns null if the picker may use this attempt's subchannel, else the error. Any second stream is dropped. */
    Status pickError() {
        if (streamCount.get() > 1) {
            return Status.UNAVAILABLE.withDescription("pathlane makes the attempts itself");
        }
        if (path.isReady()) {
            return null;
        }
        neverSent = true;
        return Status.UNAVAILABLE.withDescription("the connection to the session server is lost");
    }

    /** Establishes the attempt when its answer arrives, unless it has been abandoned. */
    private void markEstablished() {
        if (state.compareAndSet(State.PENDING, State.ESTABLISHED)) {
            owner.attemptEstablished(this);
        }
    }

    private final class TracerFactory extends ClientStreamTracer.Factory {

        @Override
        public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
            if (info.isHedging()) {
                owner.recordHedging();
            }
            return streamCount.incrementAndGet() == 1 ? new Tracer() : new ClientStreamTracer() {};
        }
    }

    /** Called on the transport's thread, so that a busy application doesn't make a server appear slow. */
    private final class Tracer extends ClientStreamTracer {

        @Override
        public void inboundHeaders(Metadata headers) {
            if (!owner.method.getType().serverSendsOneMessage()) {
                markEstablished();
            }
        }

        @Override
        public void inboundMessage(int number) {
            markEstablished();
        }

        @Override
        public void inboundTrailers(Metadata trailers) {
            fromServer = true;
        }
    }

    // ---- callbacks of the stream, one at a time, on the application's executor

    @Override
    public void onHeaders(Metadata headers) {
        bufferedHeaders = headers;
        if (state.get() == State.ESTABLISHED) {
            deliverHeaders();
        }
    }

    private void deliverHeaders() {
        if (bufferedHeaders != null) {
            Metadata headers = bufferedHeaders;
            bufferedHeaders = null;
            owner.listener().onHeaders(headers);
        }
    }

    @Override
    public void onMessage(R message) {
        markEstablished();   // for transports that don't notify tracers
        if (state.get() == State.ESTABLISHED) {
            deliverHeaders();
            owner.listener().onMessage(message);
        }
    }

    @Override
    public void onReady() {
        if (state.get() == State.PENDING || state.get() == State.ESTABLISHED) {
            owner.listener().onReady();
        }
    }

    @Override
    public void onClose(Status status, Metadata trailers) {
        boolean neverRan = neverSent || streamCount.get() > 1 && !fromServer;
        StreamEnd end = new StreamEnd(status.getCode(), fromServer, neverRan,
                Optional.ofNullable(trailers.get(StreamOutcomes.PUSHBACK)));
        if (StreamOutcomes.ofAttempt(end) == Outcome.COMPLETED) {
            markEstablished();
        }
        if (state.get() == State.ESTABLISHED) {
            deliverHeaders();
            owner.streamClosed(this, end, status, trailers);
        } else if (state.compareAndSet(State.PENDING, State.ENDED)) {
            owner.runInEngine(() -> owner.attemptEnded(this, end, status, trailers));
        }
    }
}
