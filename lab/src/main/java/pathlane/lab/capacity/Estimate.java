package pathlane.lab.capacity;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A figure and what it rests on.
 *
 * @param value NaN where it was not measured
 * @param evidence the worst of what it rests on
 * @param sources measurements that it rests on, each with the sizes that it was taken from
 */
public record Estimate(double value, Evidence evidence, Set<String> sources) {

    public Estimate {
        sources = Set.copyOf(sources);
    }

    /** A figure that is worked out of assumptions alone. */
    public static Estimate assumed(double value) {
        return new Estimate(value, Evidence.ASSUMED, Set.of());
    }

    /** A figure that is exact, such as nought messages of a role that has none. */
    public static Estimate exact(double value) {
        return new Estimate(value, Evidence.MEASURED, Set.of());
    }

    /** A figure that nobody has measured. */
    public static Estimate missing(String source) {
        return new Estimate(Double.NaN, Evidence.NOT_MEASURED, Set.of(source));
    }

    public boolean isKnown() {
        return !Double.isNaN(value);
    }

    /** The sum; unknown where either is. */
    public Estimate plus(Estimate other) {
        return new Estimate(value + other.value, evidence.worse(other.evidence), union(other));
    }

    /** The difference, at least nought; unknown where either is. */
    public Estimate minus(Estimate other) {
        Estimate difference = plus(other.times(-1));
        return new Estimate(Math.max(0, difference.value), difference.evidence, difference.sources);
    }

    /** The product with a known factor; the evidence stays. */
    public Estimate times(double factor) {
        return new Estimate(value * factor, evidence, sources);
    }

    private Set<String> union(Estimate other) {
        Set<String> all = new LinkedHashSet<>(sources);
        all.addAll(other.sources);
        return all;
    }
}
