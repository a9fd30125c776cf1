package pathlane.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import pathlane.core.Scheduler;

/** The one thread on which everything runs, and its sense of time. */
public final class EventLoop implements Scheduler {

    private static final Duration BEAT = Duration.ofMillis(25);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            WholeMillis.around(NioIoHandler.newFactory()));
    private final io.netty.channel.EventLoop loop = group.next();
    private Instant latest = Instant.EPOCH;
    private long beatAt;

    /** Starts the beat by which own stalls are noticed. */
    public EventLoop() {
        beatAt = System.nanoTime();
        loop.scheduleAtFixedRate(() -> beatAt = System.nanoTime(), 0, BEAT.toNanos(), TimeUnit.NANOSECONDS);
    }

    io.netty.channel.EventLoop netty() {
        return loop;
    }

    @Override
    public Instant now() {
        Instant now = Instant.now();
        latest = now.isAfter(latest) ? now : latest;
        return latest;
    }

    @Override
    public Duration lag() {
        // What is read before an overdue beat came while the loop could not look.
        Duration late = Duration.ofNanos(System.nanoTime() - beatAt).minus(BEAT.multipliedBy(2));
        return late.isNegative() ? Duration.ZERO : late;
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

    /** Ends the loop; what is open is dropped. */
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
