package pathlane.decision.support;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;

/**
 * The outstanding requests to one server, in the order in which they were sent. Not thread-safe; times are milliseconds on
 * the policy's clock.
 *
 * @param <C> the type of the calls that the requests belong to
 */
public final class OutstandingRequests<C extends CallProgress<?>> {

    private final Map<String, C> calls = new LinkedHashMap<>();

    /** Adds the request of this call, which was sent. */
    public void add(String callId, C call) {
        calls.put(callId, call);
    }

    /** Removes the request of this call. */
    public void remove(String callId) {
        calls.remove(callId);
    }

    /** The number of requests. */
    public int size() {
        return calls.size();
    }

    /** Whether there is no request. */
    public boolean isEmpty() {
        return calls.isEmpty();
    }

    /** The calls in the order in which their requests were sent; must not be modified while iterating. */
    public Iterable<C> calls() {
        return calls.values();
    }

    /** The number of requests that are not overdue. */
    public int countNotOverdue() {
        int count = 0;
        for (C call : calls.values()) {
            count += call.isOverdue() ? 0 : 1;
        }
        return count;
    }

    /** How long the oldest request that is not overdue has waited; 0 if there is none. */
    public double longestWait(double now) {
        for (C call : calls.values()) {
            if (!call.isOverdue()) {
                return now - call.waitingSince();
            }
        }
        return 0;
    }

    /** The calls whose requests were sent before the given time. */
    public List<C> sentBefore(double time) {
        return calls.values().stream().filter(call -> call.sentAt() < time).toList();
    }

    /**
     * A function that counts, as of now, the requests whose answer is due in less than a given time, and one additional
     * request that is due in {@code additional}.
     */
    public DoubleUnaryOperator dueWithin(double now, double additional) {
        double[] remaining = new double[calls.size()];
        int size = 0;
        for (C call : calls.values()) {
            remaining[size++] = call.answerDueAt() - now;
        }
        return time -> {
            int due = additional <= time ? 1 : 0;
            for (double one : remaining) {
                due += one < time ? 1 : 0;
            }
            return due;
        };
    }
}
