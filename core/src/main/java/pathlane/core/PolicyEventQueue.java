package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;
import pathlane.config.Millis;

/** Hands the policies their events one after the other, never within one another. On the loop's thread. */
final class PolicyEventQueue {

    /** After a stall of this process of so long, what the event bus has told is read before anything is decided. */
    private static final Duration STALL = Duration.ofMillis(50);
    /** Decisions in a row, before the connections are looked at again. */
    private static final Duration LONGEST_TURN = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean isHandling;
    /** Whether the queue waits until the connections have been looked at. */
    private boolean isPostponed;
    /** The time of the last event: a timer may fire a little before its time, and counts as on time. */
    private double lastEventMs;

    PolicyEventQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Hands an event over, with its time; what its actions bring about is handed over after it, never within. */
    void post(DoubleConsumer event) {
        events.add(() -> event.accept(nowMs()));
        handle();
    }

    /** The same, ahead of what is postponed: that is decided by what this says. */
    void postFirst(DoubleConsumer event) {
        events.addFirst(() -> event.accept(nowMs()));
        handle();
    }

    /** Hands a timer's event over after a delay. */
    void schedule(double delayMs, DoubleConsumer timerFired) {
        // A timer may be early by the clock's resolution: the policy would take it for another timer, and wait for one that
        // never comes.
        double dueMs = lastEventMs + delayMs;
        scheduler.after(Millis.toDuration(delayMs), () -> post(at -> {
            lastEventMs = Math.max(at, dueMs);
            timerFired.accept(lastEventMs);
        }));
    }

    private double nowMs() {
        lastEventMs = Math.max(lastEventMs, Millis.of(scheduler.now()));
        return lastEventMs;
    }

    /**
     * Handles the events, unless this process has just stalled. Clients' requests and changes of the list have then waited
     * side by side, and a request that is decided first could go where the list forbids it (rule three): nothing is decided
     * before the loop has read all that waited.
     */
    private void handle() {
        if (isHandling || isPostponed) {
            return;
        }
        if (scheduler.lag().compareTo(STALL) > 0) {
            postpone();
        } else {
            handleAll();
        }
    }

    private void postpone() {
        isPostponed = true;
        scheduler.after(Duration.ZERO, () -> {
            isPostponed = false;
            handleAll();
        });
    }

    private void handleAll() {
        Instant until = scheduler.now().plus(LONGEST_TURN);
        isHandling = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
                if (!events.isEmpty() && scheduler.now().isAfter(until)) {
                    postpone();
                    return;
                }
            }
        } finally {
            isHandling = false;
        }
    }
}
