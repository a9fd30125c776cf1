package pathlane.lab.capacity;

import java.util.EnumSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A figure, the kinds of evidence for it, and its sources.
 *
 * @param value NaN if it was not measured
 * @param evidence evidence of all values that it was computed from
 * @param sources names of the measured series that it was computed from
 */
public record Estimate(double value, Set<Evidence> evidence, Set<String> sources) {

    /** Copies both sets. */
    public Estimate {
        evidence = Set.copyOf(evidence);
        sources = Set.copyOf(sources);
    }

    /** Creates a figure from a measured series. */
    static Estimate of(double value, Evidence evidence, String source) {
        return new Estimate(value, Set.of(evidence), Set.of(source));
    }

    /** Creates a figure that is computed from assumptions alone. */
    public static Estimate assumed(double value) {
        return new Estimate(value, Set.of(Evidence.ASSUMED), Set.of());
    }

    /** Creates an exact figure, such as a limit of the program. */
    public static Estimate exact(double value) {
        return new Estimate(value, Set.of(), Set.of());
    }

    /** Creates an unknown figure, which was not measured. */
    public static Estimate missing(String source) {
        return of(Double.NaN, Evidence.NOT_MEASURED, source);
    }

    public boolean isKnown() {
        return !Double.isNaN(value);
    }

    /** Returns the sum; unknown if either is. */
    public Estimate plus(Estimate other) {
        Set<Evidence> allEvidence = EnumSet.noneOf(Evidence.class);
        allEvidence.addAll(evidence);
        allEvidence.addAll(other.evidence);
        Set<String> allSources = new TreeSet<>(sources);
        allSources.addAll(other.sources);
        return new Estimate(value + other.value, allEvidence, allSources);
    }

    /** Returns the difference, at least zero; unknown if either is. */
    public Estimate minus(Estimate other) {
        Estimate difference = plus(other.times(-1));
        return new Estimate(Math.max(0, difference.value), difference.evidence, difference.sources);
    }

    /** Returns the product with a known factor; the evidence stays the same. */
    public Estimate times(double factor) {
        return new Estimate(value * factor, evidence, sources);
    }

    /** Describes the evidence; an unknown figure has none. */
    public String basis() {
        return isKnown() ? evidence.stream().sorted().map(Evidence::text).collect(Collectors.joining(", "))
                : Evidence.NOT_MEASURED.text();
    }

    /** Returns the names of the series as text. */
    public String sourceNames() {
        return String.join(", ", new TreeSet<>(sources));
    }
}
