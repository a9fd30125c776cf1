package pathlane.lab.capacity;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one holder of a role bears in a situation.
 *
 * @param state what it keeps, in words
 * @param messages sent and received, a second
 * @param bytes sent and received, a second
 * @param cpuMillis of processor time, a second
 * @param memoryBytes of the state
 * @param mechanism what carries it
 */
public record RoleCost(String state, Estimate messages, Estimate bytes, Estimate cpuMillis, Estimate memoryBytes,
                       String mechanism) {

    /** All figures. */
    public List<Estimate> estimates() {
        return List.of(messages, bytes, cpuMillis, memoryBytes);
    }

    /** What the known figures rest on, by name. */
    public Set<String> sources() {
        Set<String> sources = new TreeSet<>();
        estimates().stream().filter(Estimate::isKnown).forEach(one -> sources.addAll(one.sources()));
        return sources;
    }

    /** The worst evidence among the known figures. */
    public Evidence evidence() {
        return estimates().stream().filter(Estimate::isKnown).map(Estimate::evidence)
                .reduce(Evidence.MEASURED, Evidence::worse);
    }
}
