package pathlane.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import pathlane.core.Scheduler;
import pathlane.transport.RateLimiter;

/**
 * Releases of calls that are not known here, of one caller's connection. Each session server hears of each of them, so
 * they are passed on at a bounded rate; what comes faster waits, since a call whose release is lost stands for good. On the
 * loop's thread.
 */
final class UnknownReleases {

    /** Bounds the memory of one connection; what is beyond it is dropped. */
    private static final int MOST_WAITING = 256;

    private final RateLimiter limit;
    private final Duration every;
    private final Scheduler scheduler;
    private final Consumer<String> receiver;
    private final Queue<String> waiting = new ArrayDeque<>();

    /**
     * Passes nothing on yet.
     *
     * @param atOnce releases that are passed on at once
     * @param every one more is passed on each time so long has passed
     * @param receiver is given the id of each call, in the order in which they came
     */
    UnknownReleases(int atOnce, Duration every, Scheduler scheduler, Consumer<String> receiver) {
        this.limit = new RateLimiter(atOnce, every, scheduler);
        this.every = every;
        this.scheduler = scheduler;
        this.receiver = receiver;
    }

    /** A release came. */
    void add(String call) {
        if (waiting.isEmpty() && limit.tryAcquire()) {
            receiver.accept(call);
        } else if (waiting.size() < MOST_WAITING) {
            waiting.add(call);
            if (waiting.size() == 1) {
                scheduler.after(every, this::passOn);
            }
        }
    }

    private void passOn() {
        while (!waiting.isEmpty() && limit.tryAcquire()) {
            receiver.accept(waiting.poll());
        }
        if (!waiting.isEmpty()) {
            scheduler.after(every, this::passOn);
        }
    }
}
