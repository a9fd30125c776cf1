package pathlane.lab;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * The scheduler of one simulated process, which can be stopped, resumed and killed and has a monotonic clock that may run
 * fast or slow. Due timers and received bytes are queued while the process is stopped.
 */
public final class SimulatedProcess implements Scheduler {

    private final Scheduler world;
    private final Instant startedAt;
    private final double clockRate;
    private final Deque<Runnable> queued = new ArrayDeque<>();
    private boolean stopped;
    private boolean dead;
    private Instant stoppedAt;
    private Duration lag = Duration.ZERO;

    /** {@code speed} is the rate of its monotonic clock relative to real time. */
    public SimulatedProcess(Scheduler world, double clockRate) {
        this.world = world;
        this.clockRate = clockRate;
        this.startedAt = world.now();
    }

    /** The reading of the monotonic clock. */
    public long nanos() {
        return (long) (Duration.between(startedAt, world.now()).toNanos() * clockRate);
    }

    /** Whether the process was killed. */
    public boolean isDead() {
        return dead;
    }

    /** Whether the process is stopped. */
    public boolean isStopped() {
        return stopped;
    }

    /** Stops the process, as SIGSTOP does. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            stoppedAt = world.now();
        }
    }

    /** Resumes the process, as SIGCONT does, and runs the queued tasks in order. */
    public void resume() {
        if (stopped) {
            stopped = false;
            lag = Duration.between(stoppedAt, world.now());
            for (Runnable next = queued.poll(); next != null && !stopped; next = queued.poll()) {
                if (!dead) {
                    next.run();
                }
            }
            lag = Duration.ZERO;
        }
    }

    /** Kills the process. */
    public void kill() {
        dead = true;
        queued.clear();
    }

    /** Runs a task as this process: now, after it resumes if it is stopped, or never if it is dead. */
    public void run(Runnable task) {
        if (dead) {
            return;
        }
        if (stopped) {
            queued.add(task);
        } else {
            task.run();
        }
    }

    /** Wraps a protocol of this process: it receives events only after the process resumes, and none once it is dead. */
    public Protocol guard(Protocol protocol) {
        return new Protocol() {
            @Override
            public void opened(Connection connection) {
                run(() -> protocol.opened(connection));
            }

            @Override
            public void received(ByteBuffer bytes) {
                run(() -> protocol.received(bytes));
            }

            @Override
            public void closed(CloseReason end) {
                run(() -> protocol.closed(end));
            }
        };
    }

    @Override
    public Instant now() {
        return world.now();
    }

    @Override
    public Duration lag() {
        return lag;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        // Timers run on the process's own clock.
        Timer timer =
                world.after(Duration.ofNanos((long) Math.ceil(Math.max(0, delay.toNanos()) / clockRate)), () -> run(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }
}
