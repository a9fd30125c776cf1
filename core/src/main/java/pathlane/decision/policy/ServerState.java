package pathlane.decision.policy;

import java.util.function.Consumer;
import pathlane.decision.RoutingPolicy.AttemptResult;
import pathlane.decision.RoutingPolicy.ListedServer;
import pathlane.decision.RoutingPolicy.LoadReport;
import pathlane.decision.policy.OverloadDetector.Level;
import pathlane.decision.support.ConsecutiveDetections;
import pathlane.decision.support.DecayingRate;
import pathlane.decision.support.DelayHistory;
import pathlane.decision.support.ExponentialBackoff;
import pathlane.decision.support.FreeSlots;
import pathlane.decision.support.OutstandingRequests;
import pathlane.decision.support.ReportedLoad;
import pathlane.decision.support.ServerListing;

/** What the policy knows of one session server, and whether that server has room for a call. */
final class ServerState {

    /** A delay under this share of a latency limit is good. */
    static final double GOOD_SHARE = 0.5;
    /** Lateness, as a share of the shortest limit, that chance doesn't explain: of a timer, or behind a later request. */
    static final double SLACK_SHARE = 0.25;
    /** Delays kept for the quartile: enough for its upper quarter to hold two. */
    private static final int DELAYS_KEPT = 8;
    /** Requests that may be out to a server from which no delay is known. */
    private static final int MOST_UNPROVEN = 2;
    private static final int MOST_DOUBLINGS = 4;
    /** Shares of the reported free slots that calls of first choice take: few controllers use theirs in time. */
    private static final double PREFERRED_SHARES = 3;

    final long id;
    private final ClusterState cluster;
    private final double shortestLimit;
    final ServerListing listing = new ServerListing();
    final ConsecutiveDetections<Level> overload = new ConsecutiveDetections<>(OverloadDetector.DETECTIONS, Level.NONE);
    final DecayingRate answerRate;
    final RateGate gate;
    final ExponentialBackoff backoff;
    final SlowStartBudget slowStart;
    final Pacer pacer;
    private final DelayHistory delays = new DelayHistory(DELAYS_KEPT);
    private final FreeSlots freeSlots = new FreeSlots();
    private final ReportedLoad reported = new ReportedLoad();
    final OutstandingRequests<PendingCall> unanswered = new OutstandingRequests<>();
    private int establishedCalls;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private double unheardAt = Double.NEGATIVE_INFINITY;
    private double detectedAt;

    ServerState(long id, ClusterState cluster) {
        this.id = id;
        this.cluster = cluster;
        shortestLimit = cluster.classes.shortestLimit();
        answerRate = new DecayingRate(cluster.memory);
        gate = new RateGate(cluster.classes, answerRate, 1 / (cluster.memory * cluster.settings.controllerCount()));
        backoff = new ExponentialBackoff(shortestLimit * GOOD_SHARE, MOST_DOUBLINGS);
        slowStart = new SlowStartBudget(id, cluster.settings.rules(), cluster.slowStartShare);
        pacer = new Pacer(shortestLimit);
    }

    /** The list has this entry; {@code isNew} where the server was not on the list before, and the list was known. */
    void listed(double now, ListedServer entry, boolean isNew) {
        boolean hasRestarted = listing.update(entry);
        if (hasRestarted && now - listing.startedMs() < cluster.settings.rules().slowStartMs()) {
            startSlowly(now, listing.startedMs());
        } else if (isNew && entry.startedMs() <= 0) {
            startSlowly(now, now);
        }
    }

    private void startSlowly(double now, double since) {
        slowStart.start(now, since, cluster.random.nextDouble());
        pacer.reset();
        unheardAt = Double.NEGATIVE_INFINITY;
        backoff.reset();
        delays.clear();
    }

    /** On each send and answer, and on each arrival as if it were admitted (section 5.2 of the paper). */
    void detect(double now, double offeredLimit) {
        if (cluster.isStallEnd(now)) {
            return;
        }
        detectedAt = now;
        delays.refresh(now - ClusterState.MEMORY_OBJECTIVES * cluster.classes.longestLimit());
        if (overload.record(OverloadDetector.detect(cluster.classes.limits(), gate.guaranteedByLimit(),
                unanswered.dueWithin(now, offeredLimit), delays.serviceTime()))) {
            gate.levelChanged(now);
        }
    }

    /** Sheds or restores classes as the overload says; on every event. */
    void advance(double now) {
        if (cluster.isLosing(now)) {
            markOverdue(now);
        }
        // Few sends and answers pass a gate: a server that owes nothing is tested too, or the gate would outlive its cause.
        if (overload.value() != Level.NONE && unanswered.isEmpty() && now - detectedAt >= gate.step) {
            detect(now, Double.POSITIVE_INFINITY);
        }
        gate.advance(now, overload.value());
    }

    boolean admits(double now, PendingCall call) {
        // A late call could earn little: it gives way at a server in trouble.
        boolean givesWay = call.isLate(now) && (overload.value() != Level.NONE || pacer.interval > 0);
        return !givesWay && hasRoom(now, call) && gate.remainingWait(now, call.kind()) <= 0;
    }

    /** The guards of the rules, then condition (4) for the one call, before it is sent. */
    private boolean hasRoom(double now, PendingCall call) {
        boolean isOnlyRequest = cluster.settings.controllerCount() == 1 && unanswered.isEmpty();
        if (!listing.isRunning() || now < backoff.pausedUntil() || !hasFreeSlots(now, call)
                || !slowStart.hasRoom(now, cluster.warmRate(slots()), isOnlyRequest) || isPaced(now)) {
            return false;
        }
        int outstanding = unanswered.countInTime();
        double limit = OverloadDetector.MARGIN * Math.min(cluster.classes.limit(call.kind()), call.answerBy - now);
        if (delays.serviceTime() == 0) {
            return outstanding < (backoff.failures() > 0 ? 1 : MOST_UNPROVEN) && unanswered.longestWait(now) < limit;
        }
        if (outstanding == 0 && delays.isLastOutlived(now)) {
            return true;   // or a long delay would keep out the request that could renew it
        }
        // The service time says nothing of more requests than were seen out: all would rush to a server found idle.
        return outstanding < 1 + delays.mostOutstanding() && (outstanding + 1) * delays.serviceTime() < limit
                && unanswered.longestWait(now) < limit;
    }

    private boolean hasFreeSlots(double now, PendingCall call) {
        boolean isPreferred = listing.pool() == call.request().preferredPool();
        return freeSlots.mayTake(now, call.callClass().slots(), isPreferred, cluster.memory);
    }

    private boolean isPaced(double now) {
        return now - sentAt < pacer.interval && cluster.evenInterval(now, slots()) >= shortestLimit;
    }

    /** How long pauses, the gate and the answers that are due keep a class from this server, in milliseconds. */
    double remainingWait(double now, int callClass) {
        double blocked = Math.max(backoff.pausedUntil() - now, gate.remainingWait(now, callClass));
        return Math.max(blocked, unanswered.size() * delays.serviceTime());
    }

    void sent(double now, PendingCall call) {
        unanswered.add(call.id(), call);
        sentAt = now;
        freeSlots.add(-call.callClass().slots());
        gate.sent(now, call.kind());
        slowStart.sent(now);
        detect(now, Double.POSITIVE_INFINITY);
    }

    /** A request established its call; {@code onLost} is handed those that are lost, since a later one was answered. */
    void answered(double now, PendingCall call, double delay, Consumer<PendingCall> onLost) {
        establishedCalls++;
        int outstanding = Math.max(1, unanswered.size());
        unanswered.remove(call.id());
        heardAt = now;
        dropOvertaken(call, onLost);
        boolean isPrompt = delay < GOOD_SHARE * shortestLimit;
        if (isPrompt && call.sentAt() >= unheardAt && call.sentAt() < unheardAt + cluster.memory) {
            cluster.lossSeen(now);
        }
        backoff.recordSuccess();
        if (!cluster.isStallEnd(now)) {
            delays.add(now, delay, outstanding);
            pace(now, call, delay, outstanding);
        }
        answerRate.count(now);
        cluster.answered(now);
        if (isPrompt) {
            slowStart.answeredPromptly(now, cluster.warmRate(slots()));
        }
        detect(now, Double.POSITIVE_INFINITY);
    }

    /** A server takes requests in turn: one sent well before the answered one is lost. */
    private void dropOvertaken(PendingCall answered, Consumer<PendingCall> onLost) {
        double before = answered.sentAt() - SLACK_SHARE * shortestLimit;
        for (PendingCall call : unanswered.sentBefore(before)) {
            unanswered.remove(call.id());
            cluster.lossSeen(heardAt);
            onLost.accept(call);
        }
    }

    /** An attempt ended without its call being established: what that says of the server. */
    void attemptFailed(double now, PendingCall call, AttemptResult result) {
        unanswered.remove(call.id());
        heardAt = result.outcome().isRejection() ? now : heardAt;
        switch (result.outcome()) {
            case NO_CAPACITY -> freeSlotsReported(now, 0);   // its processor is well
            case REJECTED -> {
                pace(now, call, Double.POSITIVE_INFINITY, 1);   // as late as can be
                backOff(now, call, result.retryAfterMs());
            }
            case UNREACHABLE, RESET -> backOff(now, call, 0);
            case TIMED_OUT -> {
                if (heardAt < now - result.elapsedMs()) {
                    backOff(now, call, 0);
                }
                unheard(now, call);
                pace(now, call, result.elapsedMs(), 1);
            }
            default -> {}
        }
    }

    private void backOff(double now, PendingCall call, double statedWait) {
        if (backoff.recordFailure(now, call.sentAt(), statedWait)) {
            delays.clear();
        }
    }

    /** A request ended unanswered and counts no more: lost if the server answered a later one, or soon answers promptly. */
    void unheard(double now, PendingCall call) {
        unanswered.remove(call.id());
        unheardAt = now;
        if (heardAt > call.sentAt() && pacer.interval == 0) {
            cluster.lossSeen(now);
        }
    }

    /** An established call ended; the slots that it leaves are this controller's. */
    void callEnded(double now, PendingCall call, boolean isReset) {
        establishedCalls--;
        if (isReset && establishedCalls == 0) {
            startSlowly(now, now);   // all own calls there were cut: it has restarted before the list tells it
        }
        freeSlots.add(call.callClass().slots());
    }

    /** While requests get lost, one that waits too long no longer keeps others out, or it would until its client leaves. */
    private void markOverdue(double now) {
        for (PendingCall call : unanswered.calls()) {
            double waited = now - call.waitingSince();
            if (!call.isOverdue() && waited >= shortestLimit * OverloadDetector.MARGIN) {
                pace(now, call, waited, 1);
                call.markOverdue();
            }
        }
    }

    private void pace(double now, PendingCall call, double delay, int outstanding) {
        pacer.observe(now, call, delay, outstanding, cluster.evenInterval(now, slots()));
    }

    /** The delay that a request would meet, by own answers, the server's report and what is out, in milliseconds. */
    double delay(double now) {
        double known = Math.max(delays.mean(now, cluster.memory), reported.delay(now, cluster.memory));
        return Math.max(known, unanswered.longestWait(now));
    }

    /** The server's weight in the delay-weighted draw. */
    double drawWeight(double now) {
        double slow = Math.max(delay(now), SLACK_SHARE * shortestLimit);
        return slots() * listing.weight() / (slow * slow);
    }

    /** What a server has not reported is taken to be as with the others. */
    double slots() {
        return reported.slots() > 0 ? reported.slots() : cluster.meanSlots.orElse(1);
    }

    void report(double now, LoadReport report) {
        double slotsBefore = reported.slots();
        reported.update(now, report);
        cluster.meanSlots.update(slotsBefore, reported.slots());
        if (report.freeSlots() >= 0) {
            freeSlotsReported(now, report.freeSlots());
        }
    }

    /** Each controller takes its share of the free slots, or all would rush for the same few. */
    private void freeSlotsReported(double now, double free) {
        double share = free / cluster.settings.controllerCount();
        double chance = cluster.random.nextDouble();
        freeSlots.report(now, Math.floor(PREFERRED_SHARES * share + chance), Math.floor(share + chance));
    }
}
