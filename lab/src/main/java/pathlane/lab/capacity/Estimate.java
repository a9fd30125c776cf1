package pathlane.lab.capacity;

import java.util.EnumSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A figure and what it rests on.
 *
 * @param value NaN where it was not measured
 * @param evidence of all that it was worked out of
 * @param sources measured series that it was worked out of, by name
 */
public record Estimate(double value, Set<Evidence> evidence, Set<String> sources) {

    /** Keeps copies. */
    public Estimate {
        evidence = Set.copyOf(evidence);
        sources = Set.copyOf(sources);
    }

    /** A figure out of a measured series. */
    static Estimate of(double value, Evidence evidence, String source) {
        return new Estimate(value, Set.of(evidence), Set.of(source));
    }

    /** A figure that is worked out of assumptions alone. */
    public static Estimate assumed(double value) {
        return new Estimate(value, Set.of(Evidence.ASSUMED), Set.of());
    }

    /** A figure that is exact, such as a limit of the program's. */
    public static Estimate exact(double value) {
        return new Estimate(value, Set.of(), Set.of());
    }

    /** A figure that nobody has measured. */
    public static Estimate missing(String source) {
        return of(Double.NaN, Evidence.NOT_MEASURED, source);
    }

    public boolean isKnown() {
        return !Double.isNaN(value);
    }

    /** The sum; unknown where either is. */
    public Estimate plus(Estimate other) {
        Set<Evidence> allEvidence = EnumSet.noneOf(Evidence.class);
        allEvidence.addAll(evidence);
        allEvidence.addAll(other.evidence);
        Set<String> allSources = new TreeSet<>(sources);
        allSources.addAll(other.sources);
        return new Estimate(value + other.value, allEvidence, allSources);
    }

    /** The difference, at least nought; unknown where either is. */
    public Estimate minus(Estimate other) {
        Estimate difference = plus(other.times(-1));
        return new Estimate(Math.max(0, difference.value), difference.evidence, difference.sources);
    }

    /** The product with a known factor; what it rests on stays. */
    public Estimate times(double factor) {
        return new Estimate(value * factor, evidence, sources);
    }

    /** What it rests on, for people; an unknown figure rests on nothing. */
    public String basis() {
        return isKnown() ? evidence.stream().sorted().map(Evidence::text).collect(Collectors.joining(", "))
                : Evidence.NOT_MEASURED.text();
    }

    /** The series, for people. */
    public String sourceNames() {
        return String.join(", ", new TreeSet<>(sources));
    }
}
