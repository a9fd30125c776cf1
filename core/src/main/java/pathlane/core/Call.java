package pathlane.core;

import java.time.Instant;
import java.util.Optional;

/**
 * A call from its request to its end: what was asked for, and one state with all its transitions. On the loop's thread.
 *
 * <p>A call waits, has one attempt in flight, waits again, and so on until it is established or answered otherwise. A call
 * that another controller established begins as established here and has no attempt of its own.
 */
final class Call {

    /** A request that was sent to a server. */
    record Attempt(Server server, Instant sentAt) {}

    /** The state of the call. */
    private sealed interface State {}

    /** No attempt is out. */
    private record Waiting() implements State {}

    /** An attempt is out, and given up when its timer fires. */
    private record InFlight(Attempt attempt, Scheduler.Timer timeout) implements State {}

    /** A server has answered. The attempt is empty where another controller made it. */
    private record Established(Server server, Optional<Attempt> attempt) implements State {}

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

    private Call(Service service, CallRequest request, Instant deadline, ClientPort client, State state) {
        this.service = service;
        this.request = request;
        this.deadline = deadline;
        this.client = client;
        this.state = state;
    }

    /** A call that a client has asked for; its final answer is due at the deadline. */
    static Call requested(Service service, CallRequest request, Instant deadline, ClientPort client) {
        return new Call(service, request, deadline, client, WAITING);
    }

    /** A call that another controller established at this server. */
    static Call adopted(String id, Server server, Instant now, ClientPort client) {
        State established = new Established(server, Optional.empty());
        return new Call(server.service(), CallRequest.ofEstablishedCall(id), now, client, established);
    }

    // ---- transitions

    /** The policy has asked for another attempt; returns its number, from 0. The attempt need not be carried out. */
    int countAttempt() {
        return attempts++;
    }

    /** From waiting to in flight. */
    void attemptStarted(Server server, Instant now, Scheduler.Timer timeout) {
        state = new InFlight(new Attempt(server, now), timeout);
    }

    /** From in flight to established; the timers that awaited this end. */
    void established() {
        InFlight inFlight = (InFlight) state;
        inFlight.timeout.cancel();
        cancelDeadline();
        state = new Established(inFlight.attempt.server, Optional.of(inFlight.attempt));
    }

    /** The attempt, or the established call, has ended. Returns the attempt, if this controller made it. */
    Optional<Attempt> detach() {
        Optional<Attempt> attempt = attempt();
        state = WAITING;
        return attempt;
    }

    /** An attempt was lost: a server may have acted on it, and nothing is sent again before its release is sure. */
    void attemptLost(Instant nextNotBefore) {
        mayHaveRun = true;
        notBefore = nextNotBefore;
    }

    /** The attempt that is in flight is not awaited any more. */
    void cancelTimeout() {
        if (state instanceof InFlight inFlight) {
            inFlight.timeout.cancel();
        }
    }

    /** The same client asks again over another connection. */
    void moveTo(ClientPort newClient) {
        client = newClient;
    }

    void awaitDeadline(Scheduler.Timer timer) {
        deadlineTimer = Optional.of(timer);
    }

    void cancelDeadline() {
        deadlineTimer.ifPresent(Scheduler.Timer::cancel);
    }

    // ---- what is known of it

    String id() {
        return request.id();
    }

    Service service() {
        return service;
    }

    CallRequest request() {
        return request;
    }

    /** When the final answer is due. */
    Instant deadline() {
        return deadline;
    }

    ClientPort client() {
        return client;
    }

    /** Whether a server has answered it. */
    boolean isEstablished() {
        return state instanceof Established;
    }

    boolean isInFlight() {
        return state instanceof InFlight;
    }

    /** Where an attempt is in flight, or the call is established. */
    Optional<Server> server() {
        if (state instanceof Established established) {
            return Optional.of(established.server);
        }
        return attempt().map(Attempt::server);
    }

    /** Whether an attempt is in flight at this server, or the call is established there. */
    boolean isAt(Server server) {
        return server().filter(own -> own == server).isPresent();
    }

    /** The attempt in flight, or the one that established the call. */
    private Optional<Attempt> attempt() {
        if (state instanceof InFlight inFlight) {
            return Optional.of(inFlight.attempt);
        }
        return state instanceof Established established ? established.attempt : Optional.empty();
    }

    /**
     * When the attempt in flight left.
     *
     * @throws java.util.NoSuchElementException where none is in flight
     */
    Instant sentAt() {
        return attempt().orElseThrow().sentAt;
    }

    /** The number of the last attempt, from 0. */
    int lastAttempt() {
        return attempts - 1;
    }

    /** When the next attempt may leave at the soonest. */
    Instant notBefore() {
        return notBefore;
    }

    /** Whether a server may have acted on an earlier attempt. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
