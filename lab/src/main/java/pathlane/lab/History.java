package pathlane.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * The events that the simulated parties observed and the actions of the test bed, in order of time. Safe for threads:
 * every part records events, and scenarios wait here for expected ones.
 */
public final class History implements EventRecorder {

    /**
     * One recorded event.
     *
     * @param atNanos time since the history was created
     * @param party the client, server or process that observed or was affected by it
     * @param peer the other party, empty if there is none
     * @param call the call's id, empty if there is none
     * @param text details for people
     */
    public record Event(long atNanos, EventKind kind, String party, String peer, String call, String text) {

        @Override
        public String toString() {
            return String.format("%10.3f ms %-13s %s%s%s%s", atNanos / 1e6, kind, party,
                    peer.isEmpty() ? "" : " with " + peer,
                    call.isEmpty() ? "" : " call " + call, text.isEmpty() ? "" : ": " + text);
        }
    }

    private final LongSupplier nanos;
    private final long startedAt;
    private final List<Event> events = new ArrayList<>();

    /** {@code nanos} is the clock of the events' times. */
    public History(LongSupplier nanos) {
        this.nanos = nanos;
        this.startedAt = nanos.getAsLong();
    }

    @Override
    public synchronized void record(EventKind what, String who, String peer, String call, String text) {
        events.add(new Event(nanos.getAsLong() - startedAt, what, who, peer, call, text));
        notifyAll();
    }

    /** All events so far. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** The number of events so far. */
    public synchronized int size() {
        return events.size();
    }

    /**
     * Waits until this many events, from an index on, match. The timeout only bounds a run that hangs.
     *
     * @throws IllegalStateException if the timeout expires first
     */
    public synchronized void await(String description, int from, int count, long timeoutMillis, Predicate<Event> matches)
            throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        int seen = 0;
        int index = from;
        while (true) {
            for (; index < events.size(); index++) {
                if (matches.test(events.get(index)) && ++seen >= count) {
                    return;
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IllegalStateException("waited for " + description + ": " + seen + " of " + count + " events seen");
            }
            wait(left);
        }
    }
}
