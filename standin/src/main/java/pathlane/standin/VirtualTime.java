package pathlane.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeSet;
import pathlane.core.Scheduler;

/** Virtual time that advances on request: tasks run in due order, those due at the same time in scheduling order. */
public final class VirtualTime implements Scheduler {

    private record Due(Instant at, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeSet<Due> due = new TreeSet<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long order;

    @Override
    public Instant now() {
        return now;
    }

    /** Milliseconds since the Unix epoch. */
    public double nowMs() {
        return now.toEpochMilli() + now.getNano() % 1_000_000 / 1e6;
    }

    @Override
    public Duration lag() {
        return Duration.ZERO;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Due one = new Due(now.plus(delay.isNegative() ? Duration.ZERO : delay), order++, task);
        due.add(one);
        return () -> due.remove(one);
    }

    /** Runs all that is due within this time, and leaves the clock at its end. */
    public void pass(Duration time) {
        Instant end = now.plus(time);
        while (!due.isEmpty() && !due.first().at().isAfter(end)) {
            Due next = due.pollFirst();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** The same, in milliseconds. */
    public void pass(long millis) {
        pass(Duration.ofMillis(millis));
    }

    /** Timers that are set. */
    public int pending() {
        return due.size();
    }
}
