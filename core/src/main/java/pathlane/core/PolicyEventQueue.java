package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;
import pathlane.config.Millis;

/** Hands the module its events one after the other, never within one another. On the loop's thread. */
final class PolicyEventQueue {

    /** From so long an own stall on, what the bus has told meanwhile is read before anything is decided. */
    private static final Duration STALLED = Duration.ofMillis(50);
    /** Decisions in a row, before the connections are looked at again. */
    private static final Duration MOST_AT_ONCE = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private boolean inModule;
    /** What waits for the module has its turn once the connections have been looked at. */
    private boolean putOff;
    /** The time of the module's last event: a timer may fire a grain before its time, and counts as on time. */
    private double moduleTime;

    PolicyEventQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Hands the module an event; what its actions bring about is handed over after it, never within. */
    void tell(DoubleConsumer event) {
        deferred.add(() -> event.accept(time()));
        handOver();
    }

    /** The same, ahead of what was put off: that is decided by what this says. */
    void tellFirst(DoubleConsumer event) {
        deferred.addFirst(() -> event.accept(time()));
        handOver();
    }

    /** Fires the module's timer after this delay. */
    void wake(double delayMs, DoubleConsumer bell) {
        // Guards against a timer that is early by the clock's grain: the module would take it for another timer,
        // and wait for one that never comes.
        double due = moduleTime + delayMs;
        scheduler.after(Millis.toDuration(delayMs), () -> tell(at -> {
            moduleTime = Math.max(at, due);
            bell.accept(moduleTime);
        }));
    }

    private double time() {
        moduleTime = Math.max(moduleTime, Millis.of(scheduler.now()));
        return moduleTime;
    }

    /**
     * Guards rule three after an own stall: the callers' set-ups and the news of the bus have waited side by side, and
     * a set-up that is decided first goes where the news forbids it. So nothing is decided before the loop has read
     * all that waited.
     */
    private void handOver() {
        if (inModule || putOff) {
            return;
        }
        if (scheduler.lag().compareTo(STALLED) > 0) {
            putOff();
        } else {
            decide();
        }
    }

    private void putOff() {
        putOff = true;
        scheduler.after(Duration.ZERO, () -> {
            putOff = false;
            decide();
        });
    }

    private void decide() {
        Instant until = scheduler.now().plus(MOST_AT_ONCE);
        inModule = true;
        try {
            for (Runnable next = deferred.poll(); next != null; next = deferred.poll()) {
                next.run();
                if (!deferred.isEmpty() && scheduler.now().isAfter(until)) {
                    putOff();
                    return;
                }
            }
        } finally {
            inModule = false;
        }
    }
}
