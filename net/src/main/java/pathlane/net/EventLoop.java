package pathlane.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import pathlane.core.Scheduler;

/** The single-threaded event loop on which all protocol and call handling runs, with its clock and timers. */
public final class EventLoop implements Scheduler {

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(25);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            MillisRoundingIoHandler.wrap(NioIoHandler.newFactory()));
    private final io.netty.channel.EventLoop loop = group.next();
    private Instant lastNow = Instant.EPOCH;
    private long lastHeartbeatNanos;

    /** Starts the loop and the periodic heartbeat by which {@link #lag} detects that the loop was blocked. */
    public EventLoop() {
        lastHeartbeatNanos = System.nanoTime();
        loop.scheduleAtFixedRate(() -> lastHeartbeatNanos = System.nanoTime(), 0, HEARTBEAT_INTERVAL.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    io.netty.channel.EventLoop netty() {
        return loop;
    }

    @Override
    public Instant now() {
        Instant now = Instant.now();
        lastNow = now.isAfter(lastNow) ? now : lastNow;
        return lastNow;
    }

    @Override
    public Duration lag() {
        // Input that is read before an overdue heartbeat runs may have waited for as long as the heartbeat is overdue.
        Duration overdue =
                Duration.ofNanos(System.nanoTime() - lastHeartbeatNanos).minus(HEARTBEAT_INTERVAL.multipliedBy(2));
        return overdue.isNegative() ? Duration.ZERO : overdue;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Future<?> timer = loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    /** Runs a task on the loop, from any thread. */
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /** Stops the loop; open connections are dropped. */
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
