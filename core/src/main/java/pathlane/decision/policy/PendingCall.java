package pathlane.decision.policy;

import java.util.Comparator;
import pathlane.config.Settings;
import pathlane.config.Settings.CallClass;
import pathlane.decision.RoutingPolicy.Request;
import pathlane.decision.support.CallProgress;

/** A call from its request's arrival to its end: how long it may wait, what it is worth, and which servers may take it. */
final class PendingCall extends CallProgress<ServerState> {

    /** A call waits for at most this share of its time: a stall of this process hardly ever outlasts the rest. */
    private static final double HOLD_SHARE = 0.25;

    /** Calls of the highest value first, among equals the one that came first. */
    static final Comparator<PendingCall> HIGHEST_VALUE_FIRST = Comparator
            .<PendingCall>comparingDouble(call -> -call.rankedValue).thenComparingDouble(CallProgress::arrivedAt);

    private final Settings settings;
    /** The latest time of the final answer, with two ticks to spare. */
    final double answerBy;
    double holdUntil;
    /** Answered the last attempt with an error: others come first, in case it does so to all. */
    ServerState failedServer;
    private double rankedValue;

    PendingCall(Settings settings, Request request, double now, double firstArrivalAt) {
        super(request, now, firstArrivalAt);
        this.settings = settings;
        answerBy = now + request.remainingMs() - 2 * settings.tickMs();
        updateHold();
    }

    CallClass callClass() {
        return settings.classes().get(kind());
    }

    /** Values it by the paper's U, or by what is left of that once it is late. */
    void rank(double now) {
        rankedValue = callClass().utility() * (isLate(now) ? callClass().lateWeight() : 1);
    }

    /** Whether the client's first request is longer ago than the latency objective. */
    boolean isLate(double now) {
        return now >= firstArrivalAt() + callClass().latencyObjectiveMs();
    }

    /** Calls with the same key find room at the same servers, but for the time that they have left. */
    long routingKey(double now) {
        return ((long) request().preferredPool() << Integer.SIZE) + 2L * kind() + (isLate(now) ? 1 : 0);
    }

    /** Waits while it can still be established in time, but not so long that a stall of this process could lose it. */
    void updateHold() {
        double time = request().remainingMs();
        double span = Math.min(time * HOLD_SHARE, callClass().latencyObjectiveMs() * OverloadDetector.MARGIN);
        holdUntil = Math.min(arrivedAt() + time * (1 - HOLD_SHARE), Math.max(arrivedAt(), notBefore()) + span);
    }

    boolean mayUse(ServerState server) {
        int pool = server.listing.pool();
        return pool != settings.ownPool() && (!request().isInTransit() || pool == request().preferredPool())
                && callClass().allows(pool);
    }
}
