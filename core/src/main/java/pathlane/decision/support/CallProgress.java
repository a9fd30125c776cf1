package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.Request;

/**
 * How far a call has come: its state, its attempts and the times that they are judged by. All transitions are here. Not
 * thread-safe; times are milliseconds on the caller's clock.
 *
 * @param <S> what an attempt is sent to
 */
public class CallProgress<S> {

    private enum State {
        /** Between attempts. */
        WAITING,
        /** An attempt is out, and the client waits for its answer. */
        IN_FLIGHT,
        /** A server has answered, and the call goes on there. */
        ESTABLISHED,
        /** The client has left or has its final answer; an attempt may still be out, and may still establish the call. */
        ABANDONED
    }

    private final Request request;
    private final double arrivedAt;
    private final double firstArrivalAt;
    private State state = State.WAITING;
    private S server;
    private int attempts;
    private double sentAt;
    private double waitingSince;
    private double answerDueAt;
    private double notBefore;
    private boolean mayHaveRun;
    private boolean isOverdue;

    /** A request that has come now; the client's first one for the same came at another time, if this is a retry. */
    protected CallProgress(Request request, double now, double firstArrivalAt) {
        this.request = request;
        arrivedAt = now;
        this.firstArrivalAt = firstArrivalAt;
    }

    /** What the client asked for. */
    public Request request() {
        return request;
    }

    /** The call's id. */
    public String id() {
        return request.id();
    }

    /** The place of the call's class in the settings. */
    public int kind() {
        return request.callClass();
    }

    /** When the request came. */
    public double arrivedAt() {
        return arrivedAt;
    }

    /** When the client's first request for the same came. */
    public double firstArrivalAt() {
        return firstArrivalAt;
    }

    /** WAITING to IN_FLIGHT: an attempt leaves now, whose answer is due within a span. */
    public void attemptStarted(double now, S target, double answerWithin) {
        state = State.IN_FLIGHT;
        server = target;
        attempts++;
        sentAt = now;
        waitingSince = now;
        answerDueAt = now + answerWithin;
    }

    /** IN_FLIGHT or ABANDONED to ESTABLISHED. */
    public void established() {
        state = State.ESTABLISHED;
    }

    /** The attempt, or the established call, has ended; returns the server that it was at. */
    public S detach() {
        S last = server;
        server = null;
        return last;
    }

    /** An attempt ended unanswered. {@code mayHaveRun} says whether a server may have acted on it. */
    public void attemptFailed(double nextNotBefore, boolean mayHaveRunNow) {
        notBefore = Math.max(notBefore, nextNotBefore);
        mayHaveRun |= mayHaveRunNow;
    }

    /** IN_FLIGHT to WAITING, once the attempt has ended. */
    public void waitAgain() {
        state = State.WAITING;
    }

    /** Any state to ABANDONED: no answer is owed any more. */
    public void abandon() {
        state = State.ABANDONED;
    }

    /** This process stalled for so long: what was waited meanwhile says nothing of the server. */
    public void excuseStall(double span) {
        answerDueAt += span;
        waitingSince += span;
    }

    /** The attempt waits for longer than it should, and counts as lost. */
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

    /** Whether this attempt, counted from 0, is the one that is out, or the one by which the call is established. */
    public boolean isCurrent(int attempt) {
        return server != null && attempts - 1 == attempt;
    }

    /** Where an attempt is out, or the call is established; null where neither is so. */
    public S server() {
        return server;
    }

    /** Attempts so far. */
    public int attempts() {
        return attempts;
    }

    /** When the last attempt left. */
    public double sentAt() {
        return sentAt;
    }

    /** Since when the last attempt has waited, own stalls taken off. */
    public double waitingSince() {
        return waitingSince;
    }

    /** When the last attempt's answer is due, own stalls taken off. */
    public double answerDueAt() {
        return answerDueAt;
    }

    /** When the next attempt may leave at the soonest. */
    public double notBefore() {
        return notBefore;
    }

    /** Whether a server may have acted on an attempt that ended unanswered. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether an attempt of the call was found to wait for longer than it should. */
    public boolean isOverdue() {
        return isOverdue;
    }
}
