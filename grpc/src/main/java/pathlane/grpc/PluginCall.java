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
import pathlane.grpc.Endings.StreamEnd;
import pathlane.retry.RetryTracker;
import pathlane.retry.RetryTracker.Admission;

/**
 * One call of the application, over all its attempts. What the application says is kept until an attempt's call
 * stands, so that each attempt says the same; from then on the application talks to that stream itself.
 *
 * <p>Threads: the methods of {@link ClientCall} come from the application, one at a time, {@code cancel} from any
 * thread; what follows "in the turn" happens in the engine's turn; {@link #stood} and {@link #closed} come from the
 * stream's threads.
 */
final class PluginCall<Q, R> extends ClientCall<Q, R> {

    /** A call made to hear whether the channel has a load balancer; the picker says so, and drops it. */
    static final CallOptions.Key<Knock> KNOCK = CallOptions.Key.create("pathlane-knock");
    private static final HashFunction HASH = Hashing.sipHash24(ThreadLocalRandom.current().nextLong(),
            ThreadLocalRandom.current().nextLong());
    /** Messages kept for further attempts; a call that has said more is not sent again. */
    private static final int MOST_KEPT = 64;
    /** A deadline this near counts as over, in words to the application. */
    private static final Duration NEAR = Duration.ofMillis(50);

    /** Whether the picker has been asked: the channel has servers, or is known to have none. */
    static final class Knock {
        volatile boolean heard;
    }

    final MethodDescriptor<Q, R> method;
    final CallOptions options;
    final Channel next;
    final Context context = Context.current();
    private final Attachment attachment;
    private final Engine engine;
    private Metadata headers;
    private volatile Listener<R> listener;
    private final Context.CancellationListener withdrawn = ended -> cancel("the context was cancelled", null);

    /** What was said so far: the application's until it is handed over, then the turn's. */
    private final List<Q> messages = new ArrayList<>();
    private int requested;
    private boolean halfClosed;
    private Boolean compression;
    private boolean handedOver;
    /** What the application has said and the turn has not yet done: while there is any, all goes that way. */
    private final AtomicInteger underWay = new AtomicInteger();
    /** The stream of the attempt that stands; from then on the application talks to it. */
    private volatile ClientCall<Q, R> direct;
    private volatile ClientCall<Q, R> latest;
    private volatile ClientCall<Q, R> knocking;
    /** The application has cancelled it. */
    private volatile boolean left;

    // in the turn
    private long number;
    private String id;
    private Instant deadline;
    private Admission admission;
    private OptionalDouble lostAt = OptionalDouble.empty();
    private Attempt<Q, R> current;
    private int attempts;
    private Outcome lastEnding;
    private Status lastStatus;
    private Metadata lastTrailers;
    private Scheduler.Timer gap;
    private boolean open;
    private boolean standing;
    private boolean over;
    private boolean sayMore = true;
    /** An answer came in the moment in which its attempt was given up: the answer holds. */
    private boolean raced;
    private Status cut;

    PluginCall(Attachment attachment, MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        this.attachment = attachment;
        this.engine = attachment.engine;
        this.method = method;
        this.options = options;
        this.next = next;
    }

    // ---- from the application

    @Override
    public void start(Listener<R> to, Metadata with) {
        if (listener != null) {
            throw new IllegalStateException("already started");
        }
        listener = to;
        headers = with;
        if (!method.getType().clientSendsOneMessage()) {
            handOver();   // what it will say may depend on what it hears
        }
    }

    @Override
    public void request(int messagesMore) {
        say(stream -> stream.request(messagesMore), () -> requested += messagesMore);
    }

    @Override
    public void sendMessage(Q message) {
        say(stream -> stream.sendMessage(message), () -> {
            if (messages.size() < MOST_KEPT) {
                messages.add(message);
            } else {
                sayMore = false;   // too much to say again: the attempt that is out is the last
            }
        });
    }

    @Override
    public void halfClose() {
        say(ClientCall::halfClose, () -> halfClosed = true);
        if (!handedOver) {
            handOver();
        }
    }

    @Override
    public void setMessageCompression(boolean enabled) {
        say(stream -> stream.setMessageCompression(enabled), () -> compression = enabled);
    }

    private interface Word<Q, R> {
        void to(ClientCall<Q, R> stream);
    }

    private void say(Word<Q, R> word, Runnable keep) {
        if (!handedOver) {
            keep.run();
            return;
        }
        ClientCall<Q, R> stream = direct;
        if (stream != null && underWay.get() == 0) {
            word.to(stream);
            return;
        }
        underWay.incrementAndGet();
        engine.execute(() -> {
            keep.run();
            if (current != null && current.hasLeft()) {
                word.to(current.call());
            }
            underWay.decrementAndGet();
        });
    }

    @Override
    public boolean isReady() {
        ClientCall<Q, R> stream = latest;
        return stream != null && stream.isReady();
    }

    @Override
    public Attributes getAttributes() {
        ClientCall<Q, R> stream = direct;
        return stream == null ? Attributes.EMPTY : stream.getAttributes();
    }

    @Override
    public void cancel(String message, Throwable cause) {
        if (listener == null) {
            return;   // never started: there is nobody to tell
        }
        left = true;
        ClientCall<Q, R> stream = direct;
        if (stream != null) {
            stream.cancel(message, cause);
        }
        Status status = Status.CANCELLED.withDescription(message == null ? "cancelled" : message).withCause(cause);
        engine.execute(() -> cancelled(status));
    }

    private void handOver() {
        handedOver = true;
        if (context != Context.ROOT) {
            context.addListener(withdrawn, Runnable::run);
        }
        if (attachment.isListed()) {
            engine.execute(this::arrive);
        } else {
            knock();
        }
    }

    /**
     * The channel has no load balancer yet, or none any more, and calls are what makes it look for one: a call of no
     * consequence waits for it as this one would, and hears what keeps this one from being made.
     */
    private void knock() {
        Knock knock = new Knock();
        ClientCall<Q, R> call = next.newCall(method, options.withOption(KNOCK, knock));
        knocking = call;
        call.start(new Listener<R>() {
            @Override
            public void onClose(Status status, Metadata trailers) {
                if (knock.heard) {
                    engine.execute(PluginCall.this::arrive);
                } else {
                    engine.execute(() -> finish(status, trailers));
                }
            }
        }, new Metadata());
    }

    // ---- in the turn

    Scheduler time() {
        return engine.time();
    }

    void later(Runnable task) {
        engine.execute(task);
    }

    private void arrive() {
        if (over) {
            return;
        }
        number = engine.nextId();
        id = Long.toString(number);
        Instant now = engine.time().now();
        String named = options.getOption(PathlaneOptions.CLASS);
        int callClass = engine.config().classOf(method.getFullMethodName(), method.getServiceName(), named);
        if (callClass < 0) {
            finish(Status.INVALID_ARGUMENT.withDescription("class '" + named + "' is not in the settings"),
                    new Metadata());
            return;
        }
        if (attachment.hedges()) {
            finish(Attempt.HEDGED, new Metadata());
            return;
        }
        if (engine.isClosed()) {
            finish(Status.UNAVAILABLE.withDescription("the plug-in is closed"), new Metadata());
            return;
        }
        Duration patience = patience(engine.config().settings().classes().get(callClass));
        if (patience.isNegative() || patience.isZero()) {
            finish(Status.DEADLINE_EXCEEDED.withDescription("the deadline had passed before the call was made"),
                    new Metadata());
            return;
        }
        deadline = now.plus(patience);
        admit(Millis.of(now));
        engine.begin(id, this);
        Duration wait = Millis.toDuration(admission.notBefore() - Millis.of(now));
        if (wait.isNegative() || wait.isZero()) {
            setUp(callClass);
        } else if (wait.compareTo(patience) >= 0) {
            finish(Refusal.of(null, null, false, wait));   // it can't stand in time: the answer goes out now
        } else {
            gap = engine.time().after(wait, () -> {
                gap = null;
                if (!over) {
                    setUp(callClass);
                }
            });
        }
    }

    /** The time left: of the call's own deadline, of its context's, and of its class. */
    private Duration patience(Settings.CallClass callClass) {
        Duration left = callClass.deadline();
        for (Deadline one : new Deadline[] {options.getDeadline(), context.getDeadline()}) {
            if (one != null) {
                Duration remaining = Duration.ofNanos(one.timeRemaining(TimeUnit.NANOSECONDS));
                left = remaining.compareTo(left) < 0 ? remaining : left;
            }
        }
        return left;
    }

    /** On any thread: gRPC has asked for a second stream beside this one. The picker lets it not leave. */
    void seenHedging() {
        attachment.seenHedging();
    }

    /** At one time for all: a call that is held back by nothing must not wait for a timer. */
    private void admit(double now) {
        RetryTracker guard = engine.retries();
        // Nothing is remembered in quiet times, and then no request is read for its key.
        admission = guard.isEmpty(now) ? guard.arrivedWhileEmpty(number, now)
                : guard.arrived(key(), number, now);
    }

    /** The key by which a retry is known: of its mark, else of what it asks; 0 is as good as any. */
    private long key() {
        CallMark mark = options.getOption(PathlaneOptions.MARK);
        if (mark != null) {
            return mark.key();
        }
        Hasher hash = HASH.newHasher().putString(method.getFullMethodName(), StandardCharsets.UTF_8);
        for (Q message : messages) {
            try (InputStream bytes = method.streamRequest(message)) {
                hash.putBytes(ByteStreams.toByteArray(bytes));
            } catch (IOException e) {
                return number;   // what can't be read is like nothing else
            }
        }
        return messages.isEmpty() ? number : hash.hash().asLong();
    }

    private void setUp(int callClass) {
        String called = options.getOption(PathlaneOptions.NUMBER);
        Integer first = options.getOption(PathlaneOptions.FIRST_CHOICE);
        open = true;
        boolean taken = engine.controller().submit(new CallRequest(id, callClass,
                called != null ? called : Long.toString(admission.firstCallId()),
                Duration.between(engine.time().now(), deadline), first == null ? -1 : first, Engine.nothing()), engine);
        if (!taken) {
            throw new IllegalStateException("call " + id + " is there already");
        }
    }

    /** The controller sends the call to a server. */
    void attempt(long server, Duration patience) {
        attempts++;
        ServerPath path = attachment.path(server);
        if (!sayMore) {
            engine.execute(() -> {
                leaveController();
                finish(Status.RESOURCE_EXHAUSTED.withDescription("more than " + MOST_KEPT
                        + " messages were sent before the call stood"), new Metadata());
            });
            return;
        }
        if (path == null) {
            engine.execute(() -> engine.controller().serverReleased(server, id, Outcome.UNREACHABLE, Duration.ZERO));
            return;
        }
        Attempt<Q, R> made = new Attempt<>(this, path, patience);
        current = made;
        engine.attemptBegins(server);
        made.begin(engine.config().settings().connectTimeout());
    }

    Metadata headersOfAttempt() {
        Metadata all = new Metadata();
        all.merge(headers);
        if (attempts > 1) {
            all.discardAll(Attempt.PREVIOUS_ATTEMPTS);
            all.put(Attempt.PREVIOUS_ATTEMPTS, Integer.toString(attempts - 1));
        }
        return all;
    }

    /** Says to a stream that has just begun what was said so far. */
    void replay(ClientCall<Q, R> stream) {
        latest = stream;
        if (compression != null) {
            stream.setMessageCompression(compression);
        }
        if (requested > 0) {
            stream.request(requested);
        }
        messages.forEach(stream::sendMessage);
        if (halfClosed) {
            stream.halfClose();
        }
    }

    ServerPath waitingPath(long server) {
        return current != null && !current.hasLeft() && current.path.server == server ? current.path : null;
    }

    void attemptEnded(Attempt<Q, R> attempt, StreamEnd end, Status status, Metadata trailers) {
        if (over || attempt != current) {
            return;
        }
        current = null;
        latest = null;
        lastEnding = Endings.ofAttempt(end);
        lastStatus = status;
        lastTrailers = trailers;
        if (RetryTracker.requiresRetryDelay(lastEnding)) {
            lostAt = OptionalDouble.of(engine.nowMs());
        }
        if (context.isCancelled()) {
            cancelled(status);
        } else if (attempt.endedByChannel() || !sayMore) {
            leaveController();
            finish(status, trailers);
        } else {
            engine.controller().serverReleased(attempt.path.server, id, lastEnding, Endings.statedWait(end));
        }
        engine.attemptOver(attempt.path.server);
    }

    /** The controller no longer waits for the attempt that is out. */
    void giveUpAttempt() {
        Attempt<Q, R> attempt = current;
        if (attempt == null) {
            return;
        }
        if (!attempt.giveUp()) {
            raced = true;
            return;
        }
        current = null;
        latest = null;
        lastEnding = Outcome.TIMED_OUT;
        lastStatus = Status.DEADLINE_EXCEEDED;
        if (attempt.hasLeft()) {
            lostAt = OptionalDouble.of(engine.nowMs());
        }
        engine.attemptOver(attempt.path.server);
    }

    /** The controller has heard that the call stands. */
    void stands() {
        standing = true;
        open = false;
        if (admission.isRetry()) {
            engine.retries().recordSuccess(key());
        }
    }

    void refused(Duration comeBackAfter) {
        if (!raced) {
            open = false;
            boolean deadlineOver = Duration.between(engine.time().now(), deadline).compareTo(NEAR) < 0;
            finish(Refusal.of(lastEnding, lastStatus, deadlineOver, comeBackAfter));
        }
    }

    /** It failed: the application hears what the last server said. */
    void failed() {
        if (!raced) {
            open = false;
            finish(lastStatus == null ? Status.UNAVAILABLE.withDescription("the call failed") : lastStatus,
                    lastTrailers == null ? new Metadata() : lastTrailers);
        }
    }

    /** A standing call is over by the controller's word: its server has gone from the list, or started anew. */
    void releasedByController() {
        if (current != null && standing) {
            cut = Status.UNAVAILABLE.withDescription("the session server has gone");
            current.call().cancel("the session server has gone", null);
        }
    }

    /** The plug-in is closed. */
    void abandon() {
        if (!standing && !raced) {
            leaveController();
            finish(Status.UNAVAILABLE.withDescription("the plug-in is closed"), new Metadata());
        }
    }

    private void cancelled(Status status) {
        ClientCall<Q, R> knock = knocking;
        if (over) {
            return;
        }
        if (standing || raced) {
            if (direct != null) {
                direct.cancel(status.getDescription(), status.getCause());
            }
            return;   // its end comes by the stream
        }
        if (current != null && !current.giveUp()) {
            direct.cancel(status.getDescription(), status.getCause());
            return;   // it stood in this very moment
        }
        if (current != null) {
            long server = current.path.server;
            lostAt = current.hasLeft() ? OptionalDouble.of(engine.nowMs()) : lostAt;
            current = null;
            engine.attemptOver(server);
        }
        leaveController();
        finish(status, new Metadata());
        if (knock != null) {
            knock.cancel("cancelled", null);
        }
    }

    /** No answer is owed any more: the controller gives the call up. */
    private void leaveController() {
        if (open) {
            open = false;
            engine.controller().clientReleased(id, Engine.nothing(), engine);
        }
    }

    private void finish(Refusal refusal) {
        finish(refusal.status(), refusal.trailers());
    }

    /** The one place from which a final answer leaves that no server gave. */
    private void finish(Status status, Metadata trailers) {
        if (over) {
            return;
        }
        end(true);
        deliver(status, trailers);
    }

    private void end(boolean inVain) {
        over = true;
        if (gap != null) {
            gap.cancel();
            gap = null;
        }
        if (admission != null) {
            engine.over(id);
            if (inVain) {
                engine.retries().recordFailure(key(), admission, lostAt, engine.nowMs());
            }
        }
        if (context != Context.ROOT) {
            context.removeListener(withdrawn);
        }
    }

    /** Answers on the application's executor, in its way and order: by a call of the channel that never leaves. */
    private void deliver(Status status, Metadata trailers) {
        Listener<R> to = listener;
        ClientCall<Q, R> carrier = next.newCall(method, options.withOption(KNOCK, new Knock()).withDeadline(null));
        carrier.start(new Listener<R>() {
            @Override
            public void onClose(Status carried, Metadata none) {
                to.onClose(status, trailers);
            }
        }, new Metadata());
        carrier.cancel("carries a final answer", null);
    }

    // ---- from the streams' threads

    Listener<R> listener() {
        return listener;
    }

    /** An attempt's answer has come, and nobody had given it up. */
    void stood(Attempt<Q, R> attempt) {
        direct = attempt.call();
        engine.execute(() -> {
            if (raced || current != attempt) {
                // It was given up in this very moment. The application has its answer: nothing more is tried.
                current = attempt;
                standing = true;
                leaveController();
            } else {
                engine.controller().serverAnswered(attempt.path.server, id, Engine.nothing());
            }
        });
    }

    /** The stream that stood has ended. */
    void closed(Attempt<Q, R> attempt, StreamEnd end, Status status, Metadata trailers) {
        Status last = cut != null && status.getCode() == Status.Code.CANCELLED ? cut : status;
        engine.execute(() -> {
            Outcome how = Endings.ofStanding(end);
            boolean leftByCaller = !end.fromServer() && (left || status.getCode() == Status.Code.DEADLINE_EXCEEDED);
            if (how == Outcome.RESET) {
                lostAt = OptionalDouble.of(engine.nowMs());
            }
            current = null;
            if (leftByCaller) {
                engine.controller().clientReleased(id, Engine.nothing(), engine);
            } else {
                engine.controller().serverReleased(attempt.path.server, id, how, Duration.ZERO);
            }
            end(how == Outcome.RESET && !leftByCaller);
            engine.attemptOver(attempt.path.server);
        });
        listener.onClose(last, trailers);
    }
}
