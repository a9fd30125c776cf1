package pathlane.lab.capacity;

import java.util.stream.Stream;

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

    /** What the known figures rest on together, as one that is nought. */
    public Estimate basis() {
        return Stream.of(messages, bytes, cpuMillis, memoryBytes).filter(Estimate::isKnown).map(one -> one.times(0))
                .reduce(Estimate::plus).orElse(Estimate.missing(""));
    }
}
