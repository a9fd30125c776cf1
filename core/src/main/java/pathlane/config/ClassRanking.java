package pathlane.config;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import pathlane.config.Settings.CallClass;

/**
 * Orders the call classes by latency limit and by utility. A class's latency limit is its latency objective, or the
 * retransmission interval if that is shorter. Immutable; limits are in milliseconds.
 */
public final class ClassRanking {

    private final double[] limitByClass;
    private final double[] limits;
    private final int[] rankByClass;
    private final int[] classByRank;
    private final double longestObjective;

    /** Ranks the call classes of these settings. */
    public ClassRanking(Settings settings) {
        double retransmitMs = settings.retransmitMs() > 0 ? settings.retransmitMs() : Double.POSITIVE_INFINITY;
        limitByClass =
                settings.classes().stream().mapToDouble(c -> Math.min(c.latencyObjectiveMs(), retransmitMs)).toArray();
        limits = Arrays.stream(limitByClass).sorted().distinct().toArray();
        longestObjective = settings.classes().stream().mapToDouble(CallClass::latencyObjectiveMs).max().orElseThrow();
        classByRank = IntStream.range(0, limitByClass.length).boxed()
                .sorted(Comparator.comparingDouble(c -> -settings.classes().get(c).utility())).mapToInt(c -> c).toArray();
        rankByClass = new int[classByRank.length];
        for (int rank = 0; rank < classByRank.length; rank++) {
            rankByClass[classByRank[rank]] = rank;
        }
    }

    /** Returns the number of classes. */
    public int size() {
        return limitByClass.length;
    }

    /** Returns the latency limit of a class, given by its index in the settings. */
    public double limit(int callClass) {
        return limitByClass[callClass];
    }

    /** Returns the distinct latency limits, shortest first. The array is not copied and must not be modified. */
    public double[] limits() {
        return limits;
    }

    /** Returns the shortest latency limit. */
    public double shortestLimit() {
        return limits[0];
    }

    /** Returns the longest latency limit. */
    public double longestLimit() {
        return limits[limits.length - 1];
    }

    /** Returns the longest latency objective. */
    public double longestObjective() {
        return longestObjective;
    }

    /** Returns the rank of a class by utility, 0 for the highest. */
    public int rank(int callClass) {
        return rankByClass[callClass];
    }

    /** Returns the class at a rank by utility. */
    public int classAt(int rank) {
        return classByRank[rank];
    }
}
