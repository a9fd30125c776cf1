package pathlane.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeSet;
import pathlane.core.Scheduler;

/** A virtual clock that advances on request. Tasks run in the order of their due times, ties in scheduling order. */
public final class VirtualTime implements Scheduler {

    private record ScheduledTask(Instant at, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeSet<ScheduledTask> scheduled = new TreeSet<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long nextOrder;

    @Override
    public Instant now() {
        return now;
    }

    /** Returns the current time in milliseconds since the Unix epoch. */
    public double nowMs() {
        return now.toEpochMilli() + now.getNano() % 1_000_000 / 1e6;
    }

    @Override
    public Duration lag() {
        return Duration.ZERO;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        ScheduledTask scheduledTask =
                new ScheduledTask(now.plus(delay.isNegative() ? Duration.ZERO : delay), nextOrder++, task);
        scheduled.add(scheduledTask);
        return () -> scheduled.remove(scheduledTask);
    }

    /** Advances the clock by this time, running every task that becomes due. */
    public void advance(Duration time) {
        Instant end = now.plus(time);
        while (!scheduled.isEmpty() && !scheduled.first().at().isAfter(end)) {
            ScheduledTask next = scheduled.pollFirst();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** Advances the clock by this many milliseconds. */
    public void advance(long millis) {
        advance(Duration.ofMillis(millis));
    }

    /** Returns the number of scheduled tasks. */
    public int scheduledTasks() {
        return scheduled.size();
    }
}
