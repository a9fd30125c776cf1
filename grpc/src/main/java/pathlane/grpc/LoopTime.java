package pathlane.grpc;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pathlane.core.Scheduler;

/** Time for the core inside a plug-in: timers on an executor's threads, whose tasks run in the plug-in's turn. */
final class LoopTime implements Scheduler {

    private final ScheduledExecutorService timers;
    private final Executor turn;
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    LoopTime(ScheduledExecutorService timers, Executor turn) {
        this.timers = timers;
        this.turn = turn;
    }

    /** The Unix time at the start, moved on by the clock that never runs back. */
    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    /** Nought: calls come in on the application's own threads, and none waits for a loop. */
    @Override
    public Duration lag() {
        return Duration.ZERO;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Future<?> timer = timers.schedule(() -> turn.execute(task), Math.max(0, delay.toNanos()),
                TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }
}
