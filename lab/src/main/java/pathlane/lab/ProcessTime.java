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
 * Time as one process of the virtual fleet sees it: stopped and gone on, or killed, with a monotonic clock of its own that
 * is fast or slow. What is due, and what comes over its connections, waits while it is stopped.
 */
public final class ProcessTime implements Scheduler {

    private final Scheduler world;
    private final Instant startedAt;
    private final double speed;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean stopped;
    private boolean dead;
    private Instant stoppedAt;
    private Duration lag = Duration.ZERO;

    /** {@code speed} is how fast its monotonic clock runs, 1 for right. */
    public ProcessTime(Scheduler world, double speed) {
        this.world = world;
        this.speed = speed;
        this.startedAt = world.now();
    }

    /** The monotonic clock. */
    public long nanos() {
        return (long) (Duration.between(startedAt, world.now()).toNanos() * speed);
    }

    /** Whether it was killed. */
    public boolean isDead() {
        return dead;
    }

    /** Whether it is stopped now. */
    public boolean isStopped() {
        return stopped;
    }

    /** Stops it, as SIGSTOP does. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            stoppedAt = world.now();
        }
    }

    /** Continues it, as SIGCONT does: what waited is run, in its order. */
    public void goOn() {
        if (stopped) {
            stopped = false;
            lag = Duration.between(stoppedAt, world.now());
            for (Runnable next = waiting.poll(); next != null && !stopped; next = waiting.poll()) {
                if (!dead) {
                    next.run();
                }
            }
            lag = Duration.ZERO;
        }
    }

    /** Ends it for good. */
    public void kill() {
        dead = true;
        waiting.clear();
    }

    /** Runs something as this process: now, or once it goes on, or never. */
    public void run(Runnable what) {
        if (dead) {
            return;
        }
        if (stopped) {
            waiting.add(what);
        } else {
            what.run();
        }
    }

    /** A state machine of this process, which hears nothing while it is stopped and no more once it is dead. */
    public Protocol own(Protocol protocol) {
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
        // Its timers go by its own clock.
        Timer timer = world.after(Duration.ofNanos((long) Math.ceil(Math.max(0, delay.toNanos()) / speed)), () -> run(() -> {
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
