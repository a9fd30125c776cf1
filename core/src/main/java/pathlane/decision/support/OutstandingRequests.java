package pathlane.decision.support;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;

/**
 * The requests that are out to one server and count, in the order in which they were sent. Not thread-safe; times are
 * milliseconds on the caller's clock.
 *
 * @param <C> the calls of which they are attempts
 */
public final class OutstandingRequests<C extends CallProgress<?>> {

    private final Map<String, C> calls = new LinkedHashMap<>();

    /** A request of this call was sent. */
    public void add(String callId, C call) {
        calls.put(callId, call);
    }

    /** The request of this call does not count any more. */
    public void remove(String callId) {
        calls.remove(callId);
    }

    /** How many there are. */
    public int size() {
        return calls.size();
    }

    /** Whether there is none. */
    public boolean isEmpty() {
        return calls.isEmpty();
    }

    /** The calls, in the order in which their requests were sent; nothing is added or removed in a loop over them. */
    public Iterable<C> calls() {
        return calls.values();
    }

    /** How many are not overdue. */
    public int countInTime() {
        int count = 0;
        for (C call : calls.values()) {
            count += call.isOverdue() ? 0 : 1;
        }
        return count;
    }

    /** How long the oldest that is not overdue has waited; nought where there is none. */
    public double longestWait(double now) {
        for (C call : calls.values()) {
            if (!call.isOverdue()) {
                return now - call.waitingSince();
            }
        }
        return 0;
    }

    /** Those that were sent before a time. */
    public List<C> sentBefore(double time) {
        return calls.values().stream().filter(call -> call.sentAt() < time).toList();
    }

    /** How many, as of now, have their answer due in less than a span; with one more that is due in {@code another}. */
    public DoubleUnaryOperator dueWithin(double now, double another) {
        double[] left = new double[calls.size()];
        int size = 0;
        for (C call : calls.values()) {
            left[size++] = call.answerDueAt() - now;
        }
        return span -> {
            int due = another <= span ? 1 : 0;
            for (double one : left) {
                due += one < span ? 1 : 0;
            }
            return due;
        };
    }
}
