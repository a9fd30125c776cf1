package pathlane.decision.policy;

import java.util.Comparator;
import pathlane.config.Settings;
import pathlane.config.Settings.CallClass;
import pathlane.decision.RoutingPolicy.Request;
import pathlane.decision.support.CallProgress;

/** A call from the arrival of its request to its end: how long it may wait, its value, and which servers may take it. */
final class PendingCall extends CallProgress<ServerState> {

    /** The maximum wait as a fraction of the remaining deadline: a stall of this process rarely outlasts the rest. */
    private static final double HOLD_FRACTION = 0.25;

    /** Orders calls by descending value, then by arrival. */
    static final Comparator<PendingCall> HIGHEST_VALUE_FIRST = Comparator
            .<PendingCall>comparingDouble(call -> -call.value).thenComparingDouble(CallProgress::arrivedAt);

    private final Settings settings;
    /** The latest time of the final answer, two ticks before the client's deadline. */
    final double answerBy;
    double holdUntil;
    /** The server that answered the last attempt with an error: others are preferred, as it may fail every request. */
    ServerState failedServer;
    private double value;

    PendingCall(Settings settings, Request request, double now, double firstArrivalAt) {
        super(request, now, firstArrivalAt);
        this.settings = settings;
        answerBy = now + request.remainingMs() - 2 * settings.tickMs();
        updateHold();
    }

    CallClass callClass() {
        return settings.classes().get(classIndex());
    }

    /** Sets the call's value: its class's utility (U in the paper), or the fraction of it that a late call is worth. */
    void updateValue(double now) {
        value = callClass().utility() * (isLate(now) ? callClass().lateWeight() : 1);
    }

    /** Whether more than the latency objective has passed since the client's first request. */
    boolean isLate(double now) {
        return now >= firstArrivalAt() + callClass().latencyObjectiveMs();
    }

    /** Calls with the same key are admitted by the same servers, apart from differences in their remaining deadlines. */
    long routingKey(double now) {
        return ((long) request().preferredPool() << Integer.SIZE) + 2L * classIndex() + (isLate(now) ? 1 : 0);
    }

    /** Sets how long the call waits: while it can be established in time, but not so long that a stall could lose it. */
    void updateHold() {
        double remaining = request().remainingMs();
        double maxHold = Math.min(remaining * HOLD_FRACTION, callClass().latencyObjectiveMs() * OverloadDetector.MARGIN);
        holdUntil = Math.min(arrivedAt() + remaining * (1 - HOLD_FRACTION), Math.max(arrivedAt(), notBefore()) + maxHold);
    }

    boolean mayUse(ServerState server) {
        int pool = server.listing.pool();
        return pool != settings.ownPool() && (!request().isInTransit() || pool == request().preferredPool())
                && callClass().allows(pool);
    }
}
