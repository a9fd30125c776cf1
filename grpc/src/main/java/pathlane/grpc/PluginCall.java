package pathlane.grpc;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.ByteStreams;
import io.grpc.Attributes;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.CallRequest;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.grpc.StreamOutcomes.StreamEnd;
import pathlane.retry.RetryTracker;
import pathlane.retry.RetryTracker.Admission;

/**
 * One call of the application with all its attempts. The application's operations are recorded until an attempt is
 * established, so that each attempt can replay them; after that they go directly to the established stream.
 *
 * <p>Threads: the application calls the methods of {@link ClientCall} one at a time, {@code cancel} from any thread. The
 * methods below "in the engine's context" run in the engine's synchronization context. {@link #attemptEstablished} and
 * {@link #streamClosed} are called on the stream's threads.
 */
final class PluginCall<Q, R> extends ClientCall<Q, R> {

    /** Marks a call that only probes whether the channel has a load balancer. The picker records that and drops the call. */
    static final CallOptions.Key<ReadinessProbe> READINESS_PROBE = CallOptions.Key.create("pathlane-knock");
    private static final HashFunction REQUEST_HASH = Hashing.sipHash24(ThreadLocalRandom.current().nextLong(),
            ThreadLocalRandom.current().nextLong());
    /** The maximum number of messages kept for replay; a call that has sent more is not attempted again. */
    private static final int MAX_BUFFERED_MESSAGES = 64;
    /** A remaining deadline below this is reported to the application as expired. */
    private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(50);

    /** Records whether the picker has seen the probe, which means that the channel has a list of servers. */
    static final class ReadinessProbe {
        volatile boolean answered;
    }

    final MethodDescriptor<Q, R> method;
    final CallOptions options;
    final Channel next;
    final Context context = Context.current();
    private final Attachment attachment;
    private final Engine engine;
    private Metadata headers;
    private volatile Listener<R> listener;
    private final Context.CancellationListener contextListener = ended -> cancel("the context was cancelled", null);

    /** The operations so far. Owned by the application's thread until handed to the engine, then by the engine. */
    private final List<Q> messages = new ArrayList<>();
    private int requestedMessages;
    private boolean halfClosed;
    private Boolean compression;
    private boolean handedToEngine;
    /** Operations that are queued in the engine. While there are any, all others follow through it, to keep their order. */
    private final AtomicInteger pendingOperations = new AtomicInteger();
    /** The stream of the established attempt, which receives the application's operations directly. */
    private volatile ClientCall<Q, R> establishedStream;
    private volatile ClientCall<Q, R> latestStream;
    private volatile ClientCall<Q, R> probeCall;
    /** Whether the application has cancelled the call. */
    private volatile boolean cancelledByApplication;

    // used in the engine's context only
    private long callNumber;
    private String id;
    private Instant deadline;
    private Admission admission;
    private OptionalDouble attemptLostAtMs = OptionalDouble.empty();
    private Attempt<Q, R> currentAttempt;
    private int attemptCount;
    private Outcome lastOutcome;
    private Status lastStatus;
    private Metadata lastTrailers;
    private Scheduler.Timer retryDelayTimer;
    private boolean openInController;
    private boolean established;
    private boolean finished;
    private boolean replayable = true;
    /** Whether the answer arrived while its attempt was being cancelled; the answer takes precedence. */
    private boolean answeredDuringCancel;
    private Status releaseStatus;

    PluginCall(Attachment attachment, MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        this.attachment = attachment;
        this.engine = attachment.engine;
        this.method = method;
        this.options = options;
        this.next = next;
    }

    // ---- called by the application

    @Override
    public void start(Listener<R> responseListener, Metadata requestHeaders) {
        if (listener != null) {
            throw new IllegalStateException("already started");
        }
        listener = responseListener;
        headers = requestHeaders;
        if (!method.getType().clientSendsOneMessage()) {
            handToEngine();   // its later messages may depend on the server's answers
        }
    }

    @Override
    public void request(int additionalMessages) {
        perform(stream -> stream.request(additionalMessages), () -> requestedMessages += additionalMessages);
    }

    @Override
    public void sendMessage(Q message) {
        perform(stream -> stream.sendMessage(message), () -> {
            if (messages.size() < MAX_BUFFERED_MESSAGES) {
                messages.add(message);
            } else {
                replayable = false;   // too much to replay: the current attempt is the last
            }
        });
    }

    @Override
    public void halfClose() {
        perform(ClientCall::halfClose, () -> halfClosed = true);
        if (!handedToEngine) {
            handToEngine();
        }
    }

    @Override
    public void setMessageCompression(boolean enabled) {
        perform(stream -> stream.setMessageCompression(enabled), () -> compression = enabled);
    }

    private interface StreamOperation<Q, R> {
        void applyTo(ClientCall<Q, R> stream);
    }

    private void perform(StreamOperation<Q, R> operation, Runnable record) {
        if (!handedToEngine) {
            record.run();
            return;
        }
        ClientCall<Q, R> stream = establishedStream;
        if (stream != null && pendingOperations.get() == 0) {
            operation.applyTo(stream);
            return;
        }
        pendingOperations.incrementAndGet();
        engine.execute(() -> {
            record.run();
            if (currentAttempt != null && currentAttempt.isSent()) {
                operation.applyTo(currentAttempt.call());
            }
            pendingOperations.decrementAndGet();
        });
    }

    @Override
    public boolean isReady() {
        ClientCall<Q, R> stream = latestStream;
        return stream != null && stream.isReady();
    }

    @Override
    public Attributes getAttributes() {
        ClientCall<Q, R> stream = establishedStream;
        return stream == null ? Attributes.EMPTY : stream.getAttributes();
    }

    @Override
    public void cancel(String message, Throwable cause) {
        if (listener == null) {
            return;   // never started: there is no listener to notify
        }
        cancelledByApplication = true;
        ClientCall<Q, R> stream = establishedStream;
        if (stream != null) {
            stream.cancel(message, cause);
        }
        Status status = Status.CANCELLED.withDescription(message == null ? "cancelled" : message).withCause(cause);
        engine.execute(() -> handleCancellation(status));
    }

    private void handToEngine() {
        handedToEngine = true;
        if (context != Context.ROOT) {
            context.addListener(contextListener, Runnable::run);
        }
        if (attachment.hasServerList()) {
            engine.execute(this::processArrival);
        } else {
            probeReadiness();
        }
    }

    /**
     * The channel creates its load balancer when it gets a call, and has none before that or while it is idle. A probe
     * call waits for the load balancer as this call would, and receives the error that prevents this call.
     */
    private void probeReadiness() {
        ReadinessProbe probe = new ReadinessProbe();
        ClientCall<Q, R> call = next.newCall(method, options.withOption(READINESS_PROBE, probe));
        probeCall = call;
        call.start(new Listener<R>() {
            @Override
            public void onClose(Status status, Metadata trailers) {
                if (probe.answered) {
                    engine.execute(PluginCall.this::processArrival);
                } else {
                    engine.execute(() -> finish(status, trailers));
                }
            }
        }, new Metadata());
    }

    // ---- in the engine's context

    Scheduler scheduler() {
        return engine.scheduler();
    }

    void runInEngine(Runnable task) {
        engine.execute(task);
    }

    private void processArrival() {
        if (finished) {
            return;
        }
        callNumber = engine.nextId();
        id = Long.toString(callNumber);
        Instant now = engine.scheduler().now();
        String requestedClass = options.getOption(PathlaneOptions.CLASS);
        int callClass = engine.config().classOf(method.getFullMethodName(), method.getServiceName(), requestedClass);
        if (callClass < 0) {
            finish(Status.INVALID_ARGUMENT.withDescription("class '" + requestedClass + "' is not in the settings"),
                    new Metadata());
            return;
        }
        if (attachment.isHedging()) {
            finish(Attempt.HEDGING_UNSUPPORTED, new Metadata());
            return;
        }
        if (engine.isClosed()) {
            finish(Status.UNAVAILABLE.withDescription("the plug-in is closed"), new Metadata());
            return;
        }
        Duration remaining = remainingDeadline(engine.config().settings().classes().get(callClass));
        if (remaining.isNegative() || remaining.isZero()) {
            finish(Status.DEADLINE_EXCEEDED.withDescription("the deadline had passed before the call was made"),
                    new Metadata());
            return;
        }
        deadline = now.plus(remaining);
        admitByRetryTracker(Millis.of(now));
        engine.addCall(id, this);
        Duration wait = Millis.toDuration(admission.notBefore() - Millis.of(now));
        if (wait.isNegative() || wait.isZero()) {
            submitToController(callClass);
        } else if (wait.compareTo(remaining) >= 0) {
            finish(Rejection.of(null, null, false, wait));   // it can't be established in time, so it is rejected now
        } else {
            retryDelayTimer = engine.scheduler().after(wait, () -> {
                retryDelayTimer = null;
                if (!finished) {
                    submitToController(callClass);
                }
            });
        }
    }

    /** Returns the shortest of the remaining deadlines of the call, its context and its class. */
    private Duration remainingDeadline(Settings.CallClass callClass) {
        Duration shortest = callClass.deadline();
        for (Deadline callDeadline : new Deadline[] {options.getDeadline(), context.getDeadline()}) {
            if (callDeadline != null) {
                Duration remaining = Duration.ofNanos(callDeadline.timeRemaining(TimeUnit.NANOSECONDS));
                shortest = remaining.compareTo(shortest) < 0 ? remaining : shortest;
            }
        }
        return shortest;
    }

    /** Thread-safe. Called when gRPC requests a second, hedged stream, which the picker then drops. */
    void recordHedging() {
        attachment.recordHedging();
    }

    /**
     * Registers the call with the retry tracker at the given time. The delay is computed from the same time, since a call
     * without a delay must not wait for a timer.
     */
    private void admitByRetryTracker(double now) {
        RetryTracker tracker = engine.retries();
        // Without recent failures the tracker is empty, and requests needn't be hashed for their keys.
        admission = tracker.isEmpty(now) ? tracker.arrivedWhileEmpty(callNumber, now)
                : tracker.arrived(retryKey(), callNumber, now);
    }

    /** Returns the key that identifies a call's retries: its mark's, else a hash of its request. 0 is a valid key. */
    private long retryKey() {
        CallMark mark = options.getOption(PathlaneOptions.MARK);
        if (mark != null) {
            return mark.key();
        }
        Hasher hash = REQUEST_HASH.newHasher().putString(method.getFullMethodName(), StandardCharsets.UTF_8);
        for (Q message : messages) {
            try (InputStream bytes = method.streamRequest(message)) {
                hash.putBytes(ByteStreams.toByteArray(bytes));
            } catch (IOException e) {
                return callNumber;   // a request that can't be read matches no other
            }
        }
        return messages.isEmpty() ? callNumber : hash.hash().asLong();
    }

    private void submitToController(int callClass) {
        String destination = options.getOption(PathlaneOptions.NUMBER);
        Integer firstChoice = options.getOption(PathlaneOptions.FIRST_CHOICE);
        openInController = true;
        boolean accepted = engine.controller().submit(new CallRequest(id, callClass,
                destination != null ? destination : Long.toString(admission.firstCallId()),
                Duration.between(engine.scheduler().now(), deadline), firstChoice == null ? -1 : firstChoice,
                Engine.emptyContent()), engine);
        if (!accepted) {
            throw new IllegalStateException("call " + id + " already exists");
        }
    }

    /** Starts an attempt at the server that the controller has chosen. */
    void startAttempt(long server, Duration remainingDeadline) {
        attemptCount++;
        ServerPath path = attachment.path(server);
        if (!replayable) {
            engine.execute(() -> {
                releaseInController();
                finish(Status.RESOURCE_EXHAUSTED.withDescription("more than " + MAX_BUFFERED_MESSAGES
                        + " messages were sent before the call was established"), new Metadata());
            });
            return;
        }
        if (path == null) {
            engine.execute(() -> engine.controller().serverReleased(server, id, Outcome.UNREACHABLE, Duration.ZERO));
            return;
        }
        Attempt<Q, R> attempt = new Attempt<>(this, path, remainingDeadline);
        currentAttempt = attempt;
        engine.attemptStarted(server);
        attempt.startOrWait(engine.config().settings().connectTimeout());
    }

    Metadata attemptHeaders() {
        Metadata merged = new Metadata();
        merged.merge(headers);
        if (attemptCount > 1) {
            merged.discardAll(Attempt.PREVIOUS_ATTEMPTS);
            merged.put(Attempt.PREVIOUS_ATTEMPTS, Integer.toString(attemptCount - 1));
        }
        return merged;
    }

    /** Replays the operations recorded so far to a stream that has just started. */
    void replay(ClientCall<Q, R> stream) {
        latestStream = stream;
        if (compression != null) {
            stream.setMessageCompression(compression);
        }
        if (requestedMessages > 0) {
            stream.request(requestedMessages);
        }
        messages.forEach(stream::sendMessage);
        if (halfClosed) {
            stream.halfClose();
        }
    }

    ServerPath waitingPath(long server) {
        return currentAttempt != null && !currentAttempt.isSent() && currentAttempt.path.server == server
                ? currentAttempt.path : null;
    }

    void attemptEnded(Attempt<Q, R> attempt, StreamEnd end, Status status, Metadata trailers) {
        if (finished || attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        latestStream = null;
        lastOutcome = StreamOutcomes.ofAttempt(end);
        lastStatus = status;
        lastTrailers = trailers;
        if (RetryTracker.requiresRetryDelay(lastOutcome)) {
            attemptLostAtMs = OptionalDouble.of(engine.nowMs());
        }
        if (context.isCancelled()) {
            handleCancellation(status);
        } else if (attempt.wasEndedByChannel() || !replayable) {
            releaseInController();
            finish(status, trailers);
        } else {
            engine.controller().serverReleased(attempt.path.server, id, lastOutcome, StreamOutcomes.statedRetryDelay(end));
        }
        engine.attemptEnded(attempt.path.server);
    }

    /** Cancels the current attempt for the controller, which no longer waits for it. */
    void cancelAttempt() {
        Attempt<Q, R> attempt = currentAttempt;
        if (attempt == null) {
            return;
        }
        if (!attempt.abandon()) {
            answeredDuringCancel = true;
            return;
        }
        currentAttempt = null;
        latestStream = null;
        lastOutcome = Outcome.TIMED_OUT;
        lastStatus = Status.DEADLINE_EXCEEDED;
        if (attempt.isSent()) {
            attemptLostAtMs = OptionalDouble.of(engine.nowMs());
        }
        engine.attemptEnded(attempt.path.server);
    }

    /** Called when the controller has recorded the call as established. */
    void callEstablished() {
        established = true;
        openInController = false;
        if (admission.isRetry()) {
            engine.retries().recordSuccess(retryKey());
        }
    }

    void callRejected(Duration retryAfter) {
        if (!answeredDuringCancel) {
            openInController = false;
            boolean deadlineExpired = Duration.between(engine.scheduler().now(), deadline).compareTo(DEADLINE_TOLERANCE) < 0;
            finish(Rejection.of(lastOutcome, lastStatus, deadlineExpired, retryAfter));
        }
    }

    /** Ends a call that the controller reports as failed. The application receives the last server's status. */
    void callFailed() {
        if (!answeredDuringCancel) {
            openInController = false;
            finish(lastStatus == null ? Status.UNAVAILABLE.withDescription("the call failed") : lastStatus,
                    lastTrailers == null ? new Metadata() : lastTrailers);
        }
    }

    /** Ends an established call whose server has left the list or has restarted, as reported by the controller. */
    void releasedByController() {
        if (currentAttempt != null && established) {
            releaseStatus = Status.UNAVAILABLE.withDescription("the session server is gone");
            currentAttempt.call().cancel("the session server is gone", null);
        }
    }

    /** Ends a call that isn't established because the plug-in is closed. */
    void abort() {
        if (!established && !answeredDuringCancel) {
            releaseInController();
            finish(Status.UNAVAILABLE.withDescription("the plug-in is closed"), new Metadata());
        }
    }

    private void handleCancellation(Status status) {
        ClientCall<Q, R> probe = probeCall;
        if (finished) {
            return;
        }
        if (currentAttempt != null && !currentAttempt.abandon()) {
            // It is established, though its stream's thread may not have set establishedStream yet.
            currentAttempt.call().cancel(status.getDescription(), status.getCause());
            return;   // the stream reports the end
        }
        if (currentAttempt != null) {
            long server = currentAttempt.path.server;
            attemptLostAtMs = currentAttempt.isSent() ? OptionalDouble.of(engine.nowMs()) : attemptLostAtMs;
            currentAttempt = null;
            engine.attemptEnded(server);
        }
        releaseInController();
        finish(status, new Metadata());
        if (probe != null) {
            probe.cancel("cancelled", null);
        }
    }

    /** Releases the call in the controller, whose answer is no longer needed. */
    private void releaseInController() {
        if (openInController) {
            openInController = false;
            engine.controller().clientReleased(id, Engine.emptyContent(), engine);
        }
    }

    private void finish(Rejection rejection) {
        finish(rejection.status(), rejection.trailers());
    }

    /** Ends the call with a final answer that doesn't come from a server. All such answers go through this method. */
    private void finish(Status status, Metadata trailers) {
        if (finished) {
            return;
        }
        releaseResources(true);
        deliver(status, trailers);
    }

    private void releaseResources(boolean unsuccessful) {
        finished = true;
        if (retryDelayTimer != null) {
            retryDelayTimer.cancel();
            retryDelayTimer = null;
        }
        if (admission != null) {
            engine.removeCall(id);
            if (unsuccessful) {
                engine.retries().recordFailure(retryKey(), admission, attemptLostAtMs, engine.nowMs());
            }
        }
        if (context != Context.ROOT) {
            context.removeListener(contextListener);
        }
    }

    /** Notifies the listener on the application's executor and in order, by means of a channel call that is never sent. */
    private void deliver(Status status, Metadata trailers) {
        Listener<R> responseListener = listener;
        ClientCall<Q, R> carrier =
                next.newCall(method, options.withOption(READINESS_PROBE, new ReadinessProbe()).withDeadline(null));
        carrier.start(new Listener<R>() {
            @Override
            public void onClose(Status carrierStatus, Metadata carrierTrailers) {
                responseListener.onClose(status, trailers);
            }
        }, new Metadata());
        carrier.cancel("carries a final answer", null);
    }

    // ---- on the streams' threads

    Listener<R> listener() {
        return listener;
    }

    /** Called when an attempt that was not cancelled before has received its answer. */
    void attemptEstablished(Attempt<Q, R> attempt) {
        establishedStream = attempt.call();
        engine.execute(() -> {
            if (answeredDuringCancel || currentAttempt != attempt) {
                // It was being cancelled when the answer arrived. The application has its answer, so no attempt follows.
                currentAttempt = attempt;
                established = true;
                releaseInController();
            } else {
                engine.controller().serverAnswered(attempt.path.server, id, Engine.emptyContent());
            }
        });
    }

    /** Called when the established stream has ended. */
    void streamClosed(Attempt<Q, R> attempt, StreamEnd end, Status status, Metadata trailers) {
        Status finalStatus = releaseStatus != null && status.getCode() == Status.Code.CANCELLED ? releaseStatus : status;
        engine.execute(() -> {
            Outcome outcome = StreamOutcomes.ofEstablished(end);
            boolean endedByClient =
                    !end.fromServer() && (cancelledByApplication || status.getCode() == Status.Code.DEADLINE_EXCEEDED);
            if (outcome == Outcome.RESET) {
                attemptLostAtMs = OptionalDouble.of(engine.nowMs());
            }
            currentAttempt = null;
            if (endedByClient) {
                engine.controller().clientReleased(id, Engine.emptyContent(), engine);
            } else {
                engine.controller().serverReleased(attempt.path.server, id, outcome, Duration.ZERO);
            }
            releaseResources(outcome == Outcome.RESET && !endedByClient);
            engine.attemptEnded(attempt.path.server);
        });
        listener.onClose(finalStatus, trailers);
    }
}
