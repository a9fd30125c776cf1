package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.Request;

/**
 * The state machine of one call: its state, its attempts and the times by which they are evaluated. All state transitions
 * are in this class. Not thread-safe; times are milliseconds on the policy's clock.
 *
 * @param <S> the type of the server that attempts are sent to
 */
public class CallProgress<S> {

    private enum State {
        /** No attempt is outstanding; the call waits for the next one. */
        WAITING,
        /** An attempt is outstanding, and the client waits for its answer. */
        IN_FLIGHT,
        /** A server has answered, and the call is established there. */
        ESTABLISHED,
        /** The client has left or has its final answer. An outstanding attempt may still establish the call. */
        ABANDONED
    }

    private final Request request;
    private final double arrivedAt;
    private final double firstArrivalAt;
    private State state = State.WAITING;
    private S server;
    private int attemptCount;
    private double sentAt;
    private double waitingSince;
    private double answerDueAt;
    private double notBefore;
    private boolean mayHaveRun;
    private boolean isOverdue;

    /** A request that arrived now; if it is a retry, the client's first request arrived at {@code firstArrivalAt}. */
    protected CallProgress(Request request, double now, double firstArrivalAt) {
        this.request = request;
        arrivedAt = now;
        this.firstArrivalAt = firstArrivalAt;
    }

    /** The client's request. */
    public Request request() {
        return request;
    }

    /** The call's id. */
    public String id() {
        return request.id();
    }

    /** The index of the call's class in the settings. */
    public int classIndex() {
        return request.callClass();
    }

    /** When the request arrived. */
    public double arrivedAt() {
        return arrivedAt;
    }

    /** When the client's first request for this call arrived. */
    public double firstArrivalAt() {
        return firstArrivalAt;
    }

    /** WAITING to IN_FLIGHT: an attempt is sent now, whose answer is due after {@code answerWithin}. */
    public void attemptStarted(double now, S target, double answerWithin) {
        state = State.IN_FLIGHT;
        server = target;
        attemptCount++;
        sentAt = now;
        waitingSince = now;
        answerDueAt = now + answerWithin;
    }

    /** IN_FLIGHT or ABANDONED to ESTABLISHED. */
    public void markEstablished() {
        state = State.ESTABLISHED;
    }

    /** Clears and returns the server of an attempt or established call that has ended. */
    public S detachServer() {
        S last = server;
        server = null;
        return last;
    }

    /** Records that an attempt ended without establishing the call, and whether a server may have acted on it. */
    public void attemptFailed(double earliestNext, boolean attemptMayHaveRun) {
        notBefore = Math.max(notBefore, earliestNext);
        mayHaveRun |= attemptMayHaveRun;
    }

    /** IN_FLIGHT to WAITING, once the attempt has ended. */
    public void returnToWaiting() {
        state = State.WAITING;
    }

    /** Any state to ABANDONED: the call needs no further final answer. */
    public void abandon() {
        state = State.ABANDONED;
    }

    /** Excludes a stall of this process from the attempt's wait, since the server did not cause it. */
    public void excludeStall(double duration) {
        answerDueAt += duration;
        waitingSince += duration;
    }

    /** Marks the attempt as waiting longer than it should; it then counts as lost. */
    public void markOverdue() {
        isOverdue = true;
    }

    /** Whether the client still waits for its final answer. */
    public boolean isOpen() {
        return state == State.WAITING || state == State.IN_FLIGHT;
    }

    /** Whether the call is established at its server. */
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Whether this attempt, counted from 0, is the outstanding one, or the one that established the call. */
    public boolean isCurrent(int attempt) {
        return server != null && attemptCount - 1 == attempt;
    }

    /** The server of the outstanding attempt or the established call; null if there is neither. */
    public S server() {
        return server;
    }

    /** The number of attempts so far. */
    public int attemptCount() {
        return attemptCount;
    }

    /** When the last attempt was sent. */
    public double sentAt() {
        return sentAt;
    }

    /** Since when the last attempt has waited, moved later by the stalls of this process. */
    public double waitingSince() {
        return waitingSince;
    }

    /** When the last attempt's answer is due, moved later by the stalls of this process. */
    public double answerDueAt() {
        return answerDueAt;
    }

    /** The earliest time of the next attempt. */
    public double notBefore() {
        return notBefore;
    }

    /** Whether a server may have acted on an attempt that did not establish the call. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether an attempt of the call was found to wait longer than it should. */
    public boolean isOverdue() {
        return isOverdue;
    }
}
