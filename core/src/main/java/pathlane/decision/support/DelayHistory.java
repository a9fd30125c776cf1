package pathlane.decision.support;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * The delays of one server's answers: a window of the latest, each with how many requests it was seen among, and their
 * mean. The service time is the upper quartile of the delays, each over the requests among which it was seen. Not
 * thread-safe; times and delays are milliseconds on the caller's clock.
 */
public final class DelayHistory {

    private record Sample(double at, double perRequest, int outstanding) {}

    private final int capacity;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private double serviceTime;
    private double mean;
    private double lastAt = Double.NEGATIVE_INFINITY;
    private double last;

    /** {@code capacity} is how many delays the window keeps at most. */
    public DelayHistory(int capacity) {
        this.capacity = capacity;
    }

    /** A delay was seen now, among so many outstanding requests, from 1. */
    public void add(double now, double delay, int outstanding) {
        samples.addLast(new Sample(now, delay / outstanding, outstanding));
        mean = lastAt == Double.NEGATIVE_INFINITY ? delay : (mean + delay) / 2;
        lastAt = now;
        last = delay;
    }

    /**
     * Drops what is beyond the capacity or from before a time, and works out the service time. The last delay stays however
     * old: a service time of nought would open a slow server to all at once.
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

    /** The service time as of the last refresh; nought where no delay is known. */
    public double serviceTime() {
        return serviceTime;
    }

    /** The most requests that any of the delays was seen among; nought where none is known. */
    public int mostOutstanding() {
        int most = 0;
        for (Sample sample : samples) {
            most = Math.max(most, sample.outstanding);
        }
        return most;
    }

    /** The mean delay, each counting half as much as the next, faded since the last one with this time constant. */
    public double mean(double now, double span) {
        return mean * Math.exp(-Math.max(0, now - lastAt) / span);
    }

    /** Whether as long has passed since the last delay was seen as it took. */
    public boolean isLastOutlived(double now) {
        return now - lastAt >= last;
    }

    /** Forgets all delays. */
    public void clear() {
        samples.clear();
        serviceTime = 0;
        mean = 0;
        lastAt = Double.NEGATIVE_INFINITY;
    }
}
