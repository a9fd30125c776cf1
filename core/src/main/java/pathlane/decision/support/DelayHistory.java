package pathlane.decision.support;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * The delays of one server's answers: a sliding window of the latest, each with the number of requests that were outstanding
 * at the time, and their mean. The service time is the upper quartile of the delays, each divided by its number of
 * outstanding requests. Not thread-safe; times and delays are milliseconds on the policy's clock.
 */
public final class DelayHistory {

    private record Sample(double at, double perRequest, int outstanding) {}

    private final int capacity;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private double serviceTime;
    private double mean;
    private double lastDelayAt = Double.NEGATIVE_INFINITY;
    private double lastDelay;

    /** {@code capacity} is the maximum number of delays that {@link #refresh} keeps. */
    public DelayHistory(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a delay observed now while this many requests were outstanding, its own included. */
    public void add(double now, double delay, int outstanding) {
        samples.addLast(new Sample(now, delay / outstanding, outstanding));
        mean = lastDelayAt == Double.NEGATIVE_INFINITY ? delay : (mean + delay) / 2;
        lastDelayAt = now;
        lastDelay = delay;
    }

    /**
     * Drops delays beyond the capacity or from before {@code oldestKept}, and recomputes the service time. The last delay is
     * kept however old it is: without it the service time would be 0, and a slow server would get all requests at once.
     */
    public void refresh(double oldestKept) {
        while (samples.size() > capacity || samples.size() > 1 && samples.peekFirst().at < oldestKept) {
            samples.removeFirst();
        }
        double[] sorted = new double[samples.size()];
        int size = 0;
        for (Sample sample : samples) {
            sorted[size++] = sample.perRequest;
        }
        Arrays.sort(sorted);
        serviceTime = size == 0 ? 0 : sorted[(3 * size - 1) / 4];
    }

    /** The service time as of the last refresh; 0 if no delay is known. */
    public double serviceTime() {
        return serviceTime;
    }

    /** The maximum number of outstanding requests at any of the delays; 0 if none is known. */
    public int maxOutstanding() {
        int max = 0;
        for (Sample sample : samples) {
            max = Math.max(max, sample.outstanding);
        }
        return max;
    }

    /** The mean delay, in which each delay weighs half as much as the next one; it decays from the last delay on. */
    public double mean(double now, double timeConstant) {
        return mean * Math.exp(-Math.max(0, now - lastDelayAt) / timeConstant);
    }

    /** Whether the time since the last delay was observed is at least as long as that delay. */
    public boolean hasLastDelayPassed(double now) {
        return now - lastDelayAt >= lastDelay;
    }

    /** Removes all delays. */
    public void clear() {
        samples.clear();
        serviceTime = 0;
        mean = 0;
        lastDelayAt = Double.NEGATIVE_INFINITY;
    }
}
