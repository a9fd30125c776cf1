package pathlane.core;

import java.time.Instant;
import java.util.Optional;

/**
 * A call from its request to its end: the request, and the call's state machine. Runs on the event loop's thread.
 *
 * <p>A call alternates between waiting and having one attempt in flight until it is established or gets another final
 * answer. A call that was adopted from another controller starts out established and has no attempt of its own.
 */
final class Call {

    /** A request that was sent to a server, and when. */
    record Attempt(Server server, Instant sentAt) {}

    /** The state of the call. */
    private sealed interface State {}

    /** No attempt is in flight. */
    private record Waiting() implements State {}

    /** An attempt is in flight; it times out when the timer fires. */
    private record InFlight(Attempt attempt, Scheduler.Timer timeoutTimer) implements State {}

    /** A server has answered, as known since then. The attempt is empty if another controller made it. */
    private record Established(Server server, Optional<Attempt> attempt, Instant since) implements State {}

    private static final State WAITING = new Waiting();

    private final Service service;
    private final CallRequest request;
    private final Instant deadline;
    private ClientPort client;
    private Optional<Scheduler.Timer> deadlineTimer = Optional.empty();
    private State state = WAITING;
    private int attempts;
    private Instant notBefore = Instant.MIN;
    private boolean mayHaveRun;
    private boolean isClientConnected = true;
    private Optional<byte[]> heldAnswer = Optional.empty();

    private Call(Service service, CallRequest request, Instant deadline, ClientPort client, State state) {
        this.service = service;
        this.request = request;
        this.deadline = deadline;
        this.client = client;
        this.state = state;
    }

    /** Creates a call that a client has requested; its final answer is due at the deadline. */
    static Call requested(Service service, CallRequest request, Instant deadline, ClientPort client) {
        Call call = new Call(service, request, deadline, client, WAITING);
        call.mayHaveRun = request.mayHaveRun();
        return call;
    }

    /** Creates a call that another controller established at this server. */
    static Call adopted(String id, Server server, Instant now, ClientPort client) {
        State established = new Established(server, Optional.empty(), now);
        return new Call(server.service(), CallRequest.ofEstablishedCall(id), now, client, established);
    }

    // ---- transitions

    /** Counts another attempt that the policy asked for, sent or not, and returns its number, from 0. */
    int countAttempt() {
        return attempts++;
    }

    /** Changes from waiting to in flight. */
    void attemptStarted(Server server, Instant now, Scheduler.Timer timeoutTimer) {
        state = new InFlight(new Attempt(server, now), timeoutTimer);
    }

    /** Changes from in flight to established, and cancels the attempt's timeout and the deadline timer. */
    void established(Instant now) {
        InFlight inFlight = (InFlight) state;
        inFlight.timeoutTimer.cancel();
        cancelDeadlineTimer();
        state = new Established(inFlight.attempt.server, Optional.of(inFlight.attempt), now);
    }

    /** Changes to waiting after the attempt or established call ended; returns the attempt if this controller made it. */
    Optional<Attempt> detachFromServer() {
        Optional<Attempt> attempt = attempt();
        state = WAITING;
        return attempt;
    }

    /** Records a lost attempt: a server may have acted on it, so nothing is sent until its release is certain. */
    void attemptLost(Instant nextNotBefore) {
        mayHaveRun = true;
        notBefore = nextNotBefore;
    }

    /** Cancels the timeout of the attempt in flight, if there is one. */
    void cancelAttemptTimeout() {
        if (state instanceof InFlight inFlight) {
            inFlight.timeoutTimer.cancel();
        }
    }

    /** Sends the answer to another connection of the same client from now on. */
    void moveTo(ClientPort newClient) {
        client = newClient;
        isClientConnected = true;
    }

    /** Records that the client has no connection: the answer can't be sent until the client comes back for it. */
    void clientDisconnected() {
        isClientConnected = false;
    }

    /** Keeps the answer that was sent, in case that the client has not read it and repeats its request. */
    void holdAnswer(byte[] answer) {
        heldAnswer = Optional.of(answer);
    }

    /** Drops the held answer: the client does not wait for it any more. */
    void dropHeldAnswer() {
        heldAnswer = Optional.empty();
    }

    void setDeadlineTimer(Scheduler.Timer timer) {
        deadlineTimer = Optional.of(timer);
    }

    void cancelDeadlineTimer() {
        deadlineTimer.ifPresent(Scheduler.Timer::cancel);
    }

    // ---- attributes

    String id() {
        return request.id();
    }

    Service service() {
        return service;
    }

    CallRequest request() {
        return request;
    }

    /** Returns when the final answer is due. */
    Instant deadline() {
        return deadline;
    }

    ClientPort client() {
        return client;
    }

    Optional<byte[]> heldAnswer() {
        return heldAnswer;
    }

    /** Returns whether the answer can be sent; if not, the client may come back for it. */
    boolean isClientConnected() {
        return isClientConnected;
    }

    /** Returns whether a server has answered the call. */
    boolean isEstablished() {
        return state instanceof Established;
    }

    boolean isInFlight() {
        return state instanceof InFlight;
    }

    /** Returns the server at which an attempt is in flight or the call is established. */
    Optional<Server> server() {
        if (state instanceof Established established) {
            return Optional.of(established.server);
        }
        return attempt().map(Attempt::server);
    }

    /** Returns whether an attempt is in flight at this server, or the call is established there. */
    boolean isAt(Server server) {
        return server().filter(current -> current == server).isPresent();
    }

    /** Returns the attempt in flight, or the one that established the call. */
    private Optional<Attempt> attempt() {
        if (state instanceof InFlight inFlight) {
            return Optional.of(inFlight.attempt);
        }
        return state instanceof Established established ? established.attempt : Optional.empty();
    }

    /**
     * Returns when the attempt in flight, or the one that established the call, was sent.
     *
     * @throws java.util.NoSuchElementException if there is neither
     */
    Instant sentAt() {
        return attempt().orElseThrow().sentAt;
    }

    /** Returns whether the current attempt was sent before that time; true if another controller sent it, time unknown. */
    boolean wasSentBefore(Instant time) {
        return attempt().map(current -> current.sentAt.isBefore(time)).orElse(true);
    }

    /** Returns whether the call has been known to be established since before that time. */
    boolean wasEstablishedBefore(Instant time) {
        return state instanceof Established established && established.since.isBefore(time);
    }

    /** Returns the number of the last attempt, from 0. */
    int lastAttempt() {
        return attempts - 1;
    }

    /** Returns the earliest time at which the next attempt may be sent. */
    Instant notBefore() {
        return notBefore;
    }

    /** Returns whether a server may have acted on an earlier attempt. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
