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

/** What the policy knows of one session server, and whether that server has capacity for a call. */
final class ServerState {

    /** A delay below this fraction of a latency limit is good. */
    static final double GOOD_DELAY_FRACTION = 0.5;
    /**
     * Lateness above this fraction of the shortest limit is not random variation: a timer so late shows a stall of this
     * process, and a request that is so much older than an answered one is lost.
     */
    static final double LATENESS_TOLERANCE_FRACTION = 0.25;
    /** Size of the delay history: the upper quartile of 8 delays covers two of them. */
    private static final int DELAY_HISTORY_SIZE = 8;
    /** Maximum number of outstanding requests at a server for which no delay is known. */
    private static final int MAX_UNPROVEN_OUTSTANDING = 2;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** Calls that prefer the server get this many times the controller's share of free slots: few use theirs in time. */
    private static final double PREFERRED_SLOTS_FACTOR = 3;

    final long id;
    private final ClusterState cluster;
    private final double shortestLimit;
    final ServerListing listing = new ServerListing();
    final ConsecutiveDetections<Level> overload =
            new ConsecutiveDetections<>(OverloadDetector.DETECTIONS_TO_CHANGE, Level.NONE);
    final DecayingRate answerRate;
    final RateGate gate;
    final ExponentialBackoff backoff;
    final SlowStartBudget slowStart;
    final Pacer pacer;
    private final DelayHistory delays = new DelayHistory(DELAY_HISTORY_SIZE);
    private final FreeSlots freeSlots = new FreeSlots();
    private final ReportedLoad reported = new ReportedLoad();
    final OutstandingRequests<PendingCall> unanswered = new OutstandingRequests<>();
    private int establishedCalls;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private double lastAnswerAt = Double.NEGATIVE_INFINITY;
    private double lastUnansweredAt = Double.NEGATIVE_INFINITY;
    private double lastDetectionAt;

    ServerState(long id, ClusterState cluster) {
        this.id = id;
        this.cluster = cluster;
        shortestLimit = cluster.classes.shortestLimit();
        answerRate = new DecayingRate(cluster.observationLifetime);
        gate = new RateGate(cluster.classes, answerRate,
                1 / (cluster.observationLifetime * cluster.settings.controllerCount()));
        backoff = new ExponentialBackoff(shortestLimit * GOOD_DELAY_FRACTION, MAX_BACKOFF_DOUBLINGS);
        slowStart = new SlowStartBudget(id, cluster.settings.rules(), cluster.slowStartShare);
        pacer = new Pacer(shortestLimit);
    }

    /** Applies the server's list entry; {@code isNew} if a list was known before and did not contain the server. */
    void updateListing(double now, ListedServer entry, boolean isNew) {
        boolean hasRestarted = listing.update(entry);
        if (hasRestarted && now - listing.startedMs() < cluster.settings.rules().slowStartMs()) {
            beginSlowStart(now, listing.startedMs());
        } else if (isNew && entry.startedMs() <= 0) {
            beginSlowStart(now, now);
        }
    }

    private void beginSlowStart(double now, double since) {
        slowStart.start(now, since, cluster.random.nextDouble());
        pacer.reset();
        lastUnansweredAt = Double.NEGATIVE_INFINITY;
        backoff.reset();
        delays.clear();
    }

    /**
     * Tests the server for overload. Runs on each send and answer, and on each arrival as if it were admitted (section 5.2
     * of the paper).
     */
    void detectOverload(double now, double offeredLimit) {
        if (cluster.isStallEnd(now)) {
            return;
        }
        lastDetectionAt = now;
        delays.refresh(now - ClusterState.LIFETIME_FACTOR * cluster.classes.longestLimit());
        if (overload.record(OverloadDetector.detect(cluster.classes.limits(), gate.guaranteedByLimit(),
                unanswered.dueWithin(now, offeredLimit), delays.serviceTime()))) {
            gate.levelChanged(now);
        }
    }

    /** Sheds or restores classes according to the overload level; runs on every event. */
    void advance(double now) {
        if (cluster.hasRecentLosses(now)) {
            markOverdue(now);
        }
        // A gate that sheds lets few sends and answers pass. An idle server is therefore tested here as well; otherwise the
        // gate would keep shedding long after the overload has ended.
        if (overload.value() != Level.NONE && unanswered.isEmpty() && now - lastDetectionAt >= gate.stepInterval) {
            detectOverload(now, Double.POSITIVE_INFINITY);
        }
        gate.advance(now, overload.value());
    }

    boolean admits(double now, PendingCall call) {
        // A late call is worth little, so it yields to others at a server that is overloaded or paced.
        boolean mustYield = call.isLate(now) && (overload.value() != Level.NONE || pacer.interval > 0);
        return !mustYield && hasCapacity(now, call) && gate.remainingWait(now, call.classIndex()) <= 0;
    }

    /** Applies draining, backoff, free slots, slow start and pacing, then condition (4) for the call that is to be sent. */
    private boolean hasCapacity(double now, PendingCall call) {
        boolean isOnlyRequest = cluster.settings.controllerCount() == 1 && unanswered.isEmpty();
        if (!listing.isRunning() || now < backoff.pausedUntil() || !hasFreeSlots(now, call)
                || !slowStart.hasBudget(now, cluster.fullSpeedRate(slots()), isOnlyRequest) || isPaced(now)) {
            return false;
        }
        int outstanding = unanswered.countNotOverdue();
        double limit =
                OverloadDetector.MARGIN * Math.min(cluster.classes.limit(call.classIndex()), call.answerBy - now);
        if (delays.serviceTime() == 0) {
            return outstanding < (backoff.consecutiveFailures() > 0 ? 1 : MAX_UNPROVEN_OUTSTANDING)
                    && unanswered.longestWait(now) < limit;
        }
        if (outstanding == 0 && delays.hasLastDelayPassed(now)) {
            return true;   // otherwise one long delay would block the request whose answer could replace it
        }
        // The service time only holds for as many requests as were outstanding when it was measured: without this bound, all
        // calls would be sent to a server found idle at once.
        return outstanding < 1 + delays.maxOutstanding() && (outstanding + 1) * delays.serviceTime() < limit
                && unanswered.longestWait(now) < limit;
    }

    private boolean hasFreeSlots(double now, PendingCall call) {
        boolean isPreferred = listing.pool() == call.request().preferredPool();
        return freeSlots.mayTake(now, call.callClass().slots(), isPreferred, cluster.observationLifetime);
    }

    private boolean isPaced(double now) {
        return now - lastSentAt < pacer.interval && cluster.evenInterval(now, slots()) >= shortestLimit;
    }

    /** How long backoff, the gate and outstanding answers block a class at this server, in milliseconds. */
    double remainingWait(double now, int callClass) {
        double blocked = Math.max(backoff.pausedUntil() - now, gate.remainingWait(now, callClass));
        return Math.max(blocked, unanswered.size() * delays.serviceTime());
    }

    void recordSent(double now, PendingCall call) {
        unanswered.add(call.id(), call);
        lastSentAt = now;
        freeSlots.add(-call.callClass().slots());
        gate.recordSent(now, call.classIndex());
        slowStart.recordSent(now);
        detectOverload(now, Double.POSITIVE_INFINITY);
    }

    /** Records that a request established its call; {@code onLost} receives older requests, which are now known lost. */
    void recordAnswer(double now, PendingCall call, double delay, Consumer<PendingCall> onLost) {
        establishedCalls++;
        int outstanding = Math.max(1, unanswered.size());
        unanswered.remove(call.id());
        lastAnswerAt = now;
        dropOvertaken(call, onLost);
        boolean isPrompt = delay < GOOD_DELAY_FRACTION * shortestLimit;
        if (isPrompt && call.sentAt() >= lastUnansweredAt
                && call.sentAt() < lastUnansweredAt + cluster.observationLifetime) {
            cluster.recordLoss(now);
        }
        backoff.recordSuccess();
        if (!cluster.isStallEnd(now)) {
            delays.add(now, delay, outstanding);
            updatePacing(now, call, delay, outstanding);
        }
        answerRate.count(now);
        cluster.recordAnswer(now);
        if (isPrompt) {
            slowStart.recordPromptAnswer(now, cluster.fullSpeedRate(slots()));
        }
        detectOverload(now, Double.POSITIVE_INFINITY);
    }

    /** Drops requests sent well before the answered one: a server takes requests in order, so they are lost. */
    private void dropOvertaken(PendingCall answered, Consumer<PendingCall> onLost) {
        double before = answered.sentAt() - LATENESS_TOLERANCE_FRACTION * shortestLimit;
        for (PendingCall call : unanswered.sentBefore(before)) {
            unanswered.remove(call.id());
            cluster.recordLoss(lastAnswerAt);
            onLost.accept(call);
        }
    }

    /** Updates what is known of the server after an attempt that ended without establishing its call. */
    void attemptFailed(double now, PendingCall call, AttemptResult result) {
        unanswered.remove(call.id());
        lastAnswerAt = result.outcome().isRejection() ? now : lastAnswerAt;
        switch (result.outcome()) {
            case NO_CAPACITY -> updateFreeSlots(now, 0);   // no sign of processor overload, so neither backoff nor pacing
            case REJECTED -> {
                updatePacing(now, call, Double.POSITIVE_INFINITY, 1);   // counts as the longest possible delay
                backOff(now, call, result.retryAfterMs());
            }
            case UNREACHABLE, RESET -> backOff(now, call, 0);
            case TIMED_OUT -> {
                if (lastAnswerAt < now - result.elapsedMs()) {
                    backOff(now, call, 0);
                }
                recordUnanswered(now, call);
                updatePacing(now, call, result.elapsedMs(), 1);
            }
            default -> {}
        }
    }

    private void backOff(double now, PendingCall call, double retryAfter) {
        if (backoff.recordFailure(now, call.sentAt(), retryAfter)) {
            delays.clear();
        }
    }

    /**
     * Records that a request ended without an answer and is no longer outstanding. It counts as lost if the server answered
     * a later request, or answers one promptly soon after.
     */
    void recordUnanswered(double now, PendingCall call) {
        unanswered.remove(call.id());
        lastUnansweredAt = now;
        if (lastAnswerAt > call.sentAt() && pacer.interval == 0) {
            cluster.recordLoss(now);
        }
    }

    /** Records the end of an established call; the slots that it frees belong to this controller's share. */
    void callEnded(double now, PendingCall call, boolean isReset) {
        establishedCalls--;
        if (isReset && establishedCalls == 0) {
            beginSlowStart(now, now);   // all own calls were reset: the server restarted, which the list will show later
        }
        freeSlots.add(call.callClass().slots());
    }

    /**
     * While requests get lost, marks those that wait too long as overdue, so that they no longer block others; otherwise a
     * lost request would block the server until its client leaves.
     */
    private void markOverdue(double now) {
        for (PendingCall call : unanswered.calls()) {
            double waited = now - call.waitingSince();
            if (!call.isOverdue() && waited >= shortestLimit * OverloadDetector.MARGIN) {
                updatePacing(now, call, waited, 1);
                call.markOverdue();
            }
        }
    }

    private void updatePacing(double now, PendingCall call, double delay, int outstanding) {
        pacer.observe(now, call, delay, outstanding, cluster.evenInterval(now, slots()));
    }

    /**
     * The expected delay of a request sent now, in milliseconds, from this controller's own answers, the server's report and
     * the outstanding requests.
     */
    double expectedDelay(double now) {
        double known = Math.max(delays.mean(now, cluster.observationLifetime),
                reported.delay(now, cluster.observationLifetime));
        return Math.max(known, unanswered.longestWait(now));
    }

    /** The server's weight in the random selection: slots times listed weight, over the square of the expected delay. */
    double selectionWeight(double now) {
        double delay = Math.max(expectedDelay(now), LATENESS_TOLERANCE_FRACTION * shortestLimit);
        return slots() * listing.weight() / (delay * delay);
    }

    /** The server's total slots; the mean of the other servers' if it has not reported them. */
    double slots() {
        return reported.slots() > 0 ? reported.slots() : cluster.meanSlots.orElse(1);
    }

    void updateLoad(double now, LoadReport report) {
        double slotsBefore = reported.slots();
        reported.update(now, report);
        cluster.meanSlots.update(slotsBefore, reported.slots());
        if (report.freeSlots() >= 0) {
            updateFreeSlots(now, report.freeSlots());
        }
    }

    /** Takes this controller's share of the free slots; otherwise all controllers would compete for the same few. */
    private void updateFreeSlots(double now, double free) {
        double share = free / cluster.settings.controllerCount();
        double randomFraction = cluster.random.nextDouble();
        freeSlots.report(now, Math.floor(PREFERRED_SLOTS_FACTOR * share + randomFraction),
                Math.floor(share + randomFraction));
    }
}
