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

/** What the policy knows of all servers together: their capacity, the load on them, lost requests and own stalls. */
final class ClusterState {

    /** Evidence stays good for so many of the longest objectives; a loss is looked out for during so many such spans. */
    static final double MEMORY_OBJECTIVES = 2;

    final Settings settings;
    final SplittableRandom random;
    final Optional<SlowStartShare> slowStartShare;
    final ClassRanking classes;
    /** How long evidence of load and delay stays good, in milliseconds. */
    final double memory;
    final Map<Long, ServerState> servers = new TreeMap<>(Long::compareUnsigned);
    private final DecayingRate answers;
    final DecayingRate arrivals;
    final MeanOfReported meanSlots = new MeanOfReported();
    private final DecayingMaximum bestAnswerRate;
    private double lossSeenAt = Double.NEGATIVE_INFINITY;
    private double stalledAt = Double.NaN;

    ClusterState(Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        slowStartShare = settings.slowStartSenders().map(senders -> new SlowStartShare(settings.rules(), senders));
        classes = new ClassRanking(settings);
        memory = MEMORY_OBJECTIVES * classes.longestObjective();
        answers = new DecayingRate(memory);
        arrivals = new DecayingRate(memory);
        bestAnswerRate = new DecayingMaximum(settings.rules().slowStartMs());
    }

    /** Slots of the running servers together: servers differ widely, and one's share of the slots tells its part. */
    private double runningSlots() {
        return Math.max(1, servers.values().stream().filter(server -> server.listing.isRunning())
                .mapToDouble(ServerState::slots).sum());
    }

    void answered(double now) {
        bestAnswerRate.observe(now, answers.at(now) / runningSlots());   // without this one, which would be chance
        answers.count(now);
    }

    /** What a server with so many slots answers to this controller at its best, in requests a millisecond. */
    double warmRate(double slots) {
        return bestAnswerRate.last() * slots;
    }

    /** How far apart this controller's requests to a server with so many slots would be if they spread as slots do. */
    double evenInterval(double now, double slots) {
        return runningSlots() / slots / Math.max(arrivals.at(now), 1 / memory);
    }

    void lossSeen(double at) {
        lossSeenAt = at;
    }

    /** Whether requests were lately seen to get lost on the way to servers that work. */
    boolean isLosing(double now) {
        return now - lossSeenAt < MEMORY_OBJECTIVES * memory;
    }

    void stalled(double now, double span) {
        stalledAt = now;
        servers.values().forEach(server -> server.unanswered.calls().forEach(call -> call.excuseStall(span)));
    }

    /** Whether this process stalled until this very time: what is seen now says nothing of the servers. */
    boolean isStallEnd(double now) {
        return now == stalledAt;
    }
}
