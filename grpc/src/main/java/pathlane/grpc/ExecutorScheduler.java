package pathlane.grpc;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pathlane.core.Scheduler;

/** The core's scheduler inside a plug-in: timers on an executor's threads that pass their tasks to another executor. */
final class ExecutorScheduler implements Scheduler {

    private final ScheduledExecutorService timers;
    private final Executor taskExecutor;
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    ExecutorScheduler(ScheduledExecutorService timers, Executor taskExecutor) {
        this.timers = timers;
        this.taskExecutor = taskExecutor;
    }

    /** The Unix time at the start plus the time elapsed by the monotonic clock. */
    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    /** Zero: calls arrive on the application's own threads and don't wait for an event loop. */
    @Override
    public Duration lag() {
        return Duration.ZERO;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Future<?> timer = timers.schedule(() -> taskExecutor.execute(task), Math.max(0, delay.toNanos()),
                TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }
}
