package pathlane.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * What the stand-ins saw and what the rig did, in the order in which it happened. Safe for threads: each part writes, and
 * a scenario waits here for what is to come.
 */
public final class History implements Witness {

    /**
     * One thing that happened.
     *
     * @param atNanos since the beginning
     * @param who the caller, server or process that saw or suffered it
     * @param peer who is on the other side of it, empty where nobody is
     * @param call which call, empty where none
     * @param text more, for people
     */
    public record Event(long atNanos, What what, String who, String peer, String call, String text) {

        @Override
        public String toString() {
            return String.format("%10.3f ms %-13s %s%s%s%s", atNanos / 1e6, what, who, peer.isEmpty() ? "" : " with " + peer,
                    call.isEmpty() ? "" : " call " + call, text.isEmpty() ? "" : ": " + text);
        }
    }

    private final LongSupplier nanos;
    private final long startedAt;
    private final List<Event> events = new ArrayList<>();

    /** {@code nanos} is the clock that its times are by. */
    public History(LongSupplier nanos) {
        this.nanos = nanos;
        this.startedAt = nanos.getAsLong();
    }

    @Override
    public synchronized void note(What what, String who, String peer, String call, String text) {
        events.add(new Event(nanos.getAsLong() - startedAt, what, who, peer, call, text));
        notifyAll();
    }

    /** All so far. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** How many there are so far. */
    public synchronized int size() {
        return events.size();
    }

    /**
     * Waits until so many events, from a place on, are like this; the time is a bound for a rig that hangs, not what is
     * waited for.
     *
     * @throws IllegalStateException where that did not come about
     */
    public synchronized void await(String wanted, int from, int count, long mostMillis, Predicate<Event> like)
            throws InterruptedException {
        long until = System.nanoTime() + mostMillis * 1_000_000;
        int seen = 0;
        int at = from;
        while (true) {
            for (; at < events.size(); at++) {
                if (like.test(events.get(at)) && ++seen >= count) {
                    return;
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IllegalStateException("waited for " + wanted + ": " + seen + " of " + count + " came");
            }
            wait(left);
        }
    }
}
