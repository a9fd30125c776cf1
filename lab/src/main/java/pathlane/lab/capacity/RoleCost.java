package pathlane.lab.capacity;

import java.util.stream.Stream;

/**
 * The cost of one process of a role in a situation.
 *
 * @param state description of the state that it keeps
 * @param messages sent and received per second
 * @param bytes sent and received per second
 * @param cpuMillis milliseconds of processor time per second
 * @param memoryBytes of the state
 * @param mechanism the mechanism that causes the cost
 */
public record RoleCost(String state, Estimate messages, Estimate bytes, Estimate cpuMillis, Estimate memoryBytes,
        String mechanism) {

    /** Returns a zero estimate with the combined evidence of the known figures. */
    public Estimate basis() {
        return Stream.of(messages, bytes, cpuMillis, memoryBytes).filter(Estimate::isKnown).map(one -> one.times(0))
                .reduce(Estimate::plus).orElse(Estimate.missing(""));
    }
}
