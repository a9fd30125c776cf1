package pathlane.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import pathlane.core.Scheduler;
import pathlane.transport.RateLimiter;

/**
 * Releases, received on one client connection, of calls that this controller does not know. Each of them is forwarded to
 * every session server, so the rate is limited. Releases beyond the rate are queued, since a call whose release is lost
 * stays established indefinitely. On the loop's thread.
 */
final class UnknownReleases {

    /** Limits the memory of one connection; releases beyond it are dropped. */
    private static final int MAX_QUEUED = 256;

    private final RateLimiter limiter;
    private final Duration interval;
    private final Scheduler scheduler;
    private final Consumer<String> receiver;
    private final Queue<String> queue = new ArrayDeque<>();

    /**
     * Creates an empty queue.
     *
     * @param burst releases that are forwarded at once
     * @param interval after which one more release may be forwarded
     * @param receiver is passed the id of each call, in the order of arrival
     */
    UnknownReleases(int burst, Duration interval, Scheduler scheduler, Consumer<String> receiver) {
        this.limiter = new RateLimiter(burst, interval, scheduler);
        this.interval = interval;
        this.scheduler = scheduler;
        this.receiver = receiver;
    }

    /** Forwards a release that was received, now or as soon as the rate allows. */
    void add(String callId) {
        if (queue.isEmpty() && limiter.tryAcquire()) {
            receiver.accept(callId);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(callId);
            if (queue.size() == 1) {
                scheduler.after(interval, this::forwardQueued);
            }
        }
    }

    private void forwardQueued() {
        while (!queue.isEmpty() && limiter.tryAcquire()) {
            receiver.accept(queue.poll());
        }
        if (!queue.isEmpty()) {
            scheduler.after(interval, this::forwardQueued);
        }
    }
}
