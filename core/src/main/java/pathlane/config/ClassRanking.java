package pathlane.config;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import pathlane.config.Settings.CallClass;

/**
 * The call classes in order: by latency limit and by utility. A class's latency limit is its latency objective, or the
 * interval of retransmission where that is shorter. Immutable; limits are milliseconds.
 */
public final class ClassRanking {

    private final double[] limitByClass;
    private final double[] limits;
    private final int[] rankByClass;
    private final int[] classByRank;
    private final double longestObjective;

    /** The order of the classes in these settings. */
    public ClassRanking(Settings settings) {
        double retransmit = settings.retransmitMs() > 0 ? settings.retransmitMs() : Double.POSITIVE_INFINITY;
        limitByClass = settings.classes().stream().mapToDouble(c -> Math.min(c.latencyObjectiveMs(), retransmit)).toArray();
        limits = Arrays.stream(limitByClass).sorted().distinct().toArray();
        longestObjective = settings.classes().stream().mapToDouble(CallClass::latencyObjectiveMs).max().orElseThrow();
        classByRank = IntStream.range(0, limitByClass.length).boxed()
                .sorted(Comparator.comparingDouble(c -> -settings.classes().get(c).utility())).mapToInt(c -> c).toArray();
        rankByClass = new int[classByRank.length];
        for (int rank = 0; rank < classByRank.length; rank++) {
            rankByClass[classByRank[rank]] = rank;
        }
    }

    /** How many classes there are. */
    public int size() {
        return limitByClass.length;
    }

    /** The latency limit of a class, by its place in the settings. */
    public double limit(int callClass) {
        return limitByClass[callClass];
    }

    /** The distinct latency limits, the shortest first. The array is the ranking's own: it is not changed. */
    public double[] limits() {
        return limits;
    }

    /** The shortest latency limit. */
    public double shortestLimit() {
        return limits[0];
    }

    /** The longest latency limit. */
    public double longestLimit() {
        return limits[limits.length - 1];
    }

    /** The longest latency objective. */
    public double longestObjective() {
        return longestObjective;
    }

    /** A class's place by utility, 0 for the highest. */
    public int rank(int callClass) {
        return rankByClass[callClass];
    }

    /** The class at a place by utility. */
    public int classAt(int rank) {
        return classByRank[rank];
    }
}
