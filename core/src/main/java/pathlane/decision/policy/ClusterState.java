package pathlane.decision.policy;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import pathlane.config.ClassRanking;
import pathlane.config.Settings;
import pathlane.decision.support.DecayingMaximum;
import pathlane.decision.support.DecayingRate;
import pathlane.decision.support.MeanOfReported;
import pathlane.slowstart.SlowStartShare;

/** What the policy knows of all servers together: their capacity and load, recent losses, and stalls of this process. */
final class ClusterState {

    /**
     * Observations stay valid for this many times the longest latency objective, or latency limit for single delays; after a
     * loss, further losses are checked for during this many times that lifetime.
     */
    static final double LIFETIME_FACTOR = 2;

    final Settings settings;
    final SplittableRandom random;
    final Optional<SlowStartShare> slowStartShare;
    final ClassRanking classes;
    /** How long observations of load and delay stay valid, in milliseconds. */
    final double observationLifetime;
    final Map<Long, ServerState> servers = new TreeMap<>(Long::compareUnsigned);
    private final DecayingRate answerRate;
    final DecayingRate arrivalRate;
    final MeanOfReported meanSlots = new MeanOfReported();
    /** Answers per slot and millisecond. */
    private final DecayingMaximum bestAnswerRate;
    private double lastLossAt = Double.NEGATIVE_INFINITY;
    private double lastStallEndAt = Double.NaN;

    ClusterState(Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        slowStartShare = settings.slowStartSenders().map(senders -> new SlowStartShare(settings.rules(), senders));
        classes = new ClassRanking(settings);
        observationLifetime = LIFETIME_FACTOR * classes.longestObjective();
        answerRate = new DecayingRate(observationLifetime);
        arrivalRate = new DecayingRate(observationLifetime);
        bestAnswerRate = new DecayingMaximum(settings.rules().slowStartMs());
    }

    /** The total slots of all running servers. Servers differ widely in size, so their slots weight their shares. */
    private double runningSlots() {
        return Math.max(1, servers.values().stream().filter(server -> server.listing.isRunning())
                .mapToDouble(ServerState::slots).sum());
    }

    void recordAnswer(double now) {
        bestAnswerRate.observe(now, answerRate.at(now) / runningSlots());   // before this answer, whose timing is chance
        answerRate.count(now);
    }

    /** What a fully started server with this many slots answers to this controller at best, in requests per millisecond. */
    double fullSpeedRate(double slots) {
        return bestAnswerRate.last() * slots;
    }

    /** The interval of this controller's requests to a server with this many slots if load were spread evenly over slots. */
    double evenInterval(double now, double slots) {
        return runningSlots() / slots / Math.max(arrivalRate.at(now), 1 / observationLifetime);
    }

    void recordLoss(double at) {
        lastLossAt = at;
    }

    /** Whether requests to working servers were recently found to be lost. */
    boolean hasRecentLosses(double now) {
        return now - lastLossAt < LIFETIME_FACTOR * observationLifetime;
    }

    void recordStall(double now, double duration) {
        lastStallEndAt = now;
        servers.values().forEach(server -> server.unanswered.calls().forEach(call -> call.excludeStall(duration)));
    }

    /** Whether a stall of this process ended at this very time, so that delays observed now do not reflect servers. */
    boolean isStallEnd(double now) {
        return now == lastStallEndAt;
    }
}
