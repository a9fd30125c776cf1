package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;
import pathlane.config.Millis;

/** Delivers events to the policies one after the other, never nested. Runs on the event loop's thread. */
final class PolicyEventQueue {

    /** After a longer stall of the process, pending server list changes are read from the event bus before any decision. */
    private static final Duration STALL_THRESHOLD = Duration.ofMillis(50);
    /** How long events are handled in a row before the event loop polls the connections again. */
    private static final Duration MAX_BATCH_DURATION = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean isHandling;
    /** Whether handling waits until the event loop has polled the connections. */
    private boolean isPostponed;
    /** The time of the last event. A timer may fire slightly early and then counts as on time. */
    private double lastEventMs;

    PolicyEventQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Delivers an event with its time; events that its actions cause are delivered after it, never nested. */
    void post(DoubleConsumer event) {
        events.add(() -> event.accept(nowMs()));
        handle();
    }

    /** Delivers an event ahead of postponed ones, so that they are decided on the state that it brings. */
    void postFirst(DoubleConsumer event) {
        events.addFirst(() -> event.accept(nowMs()));
        handle();
    }

    /** Delivers a timer event after a delay. */
    void schedule(double delayMs, DoubleConsumer timerFired) {
        // A timer may be early by the clock's resolution: the policy would take it for another timer, and wait for one that
        // never fires.
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
     * Handles the events, unless this process has just stalled. Clients' requests and server list changes have then queued
     * up side by side, and a request that is decided first could go to a server that a pending change marks as draining or
     * gone: nothing is decided before the event loop has read everything that is pending.
     */
    private void handle() {
        if (isHandling || isPostponed) {
            return;
        }
        if (scheduler.lag().compareTo(STALL_THRESHOLD) > 0) {
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
        Instant batchEnd = scheduler.now().plus(MAX_BATCH_DURATION);
        isHandling = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
                if (!events.isEmpty() && scheduler.now().isAfter(batchEnd)) {
                    postpone();
                    return;
                }
            }
        } finally {
            isHandling = false;
        }
    }
}
