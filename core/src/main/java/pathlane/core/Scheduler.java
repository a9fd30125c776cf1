package pathlane.core;

import java.time.Duration;
import java.time.Instant;

/** The clock and timers of one event loop. Everything in this module runs on that loop's thread. */
public interface Scheduler {

    /** A timer that can be cancelled. */
    interface Timer {
        /** Cancels the timer; does nothing if it has already fired. */
        void cancel();
    }

    /** Returns the system's Unix time, which never decreases between calls. */
    Instant now();

    /** Returns how long the current event may have waited because this process stalled; zero while the loop keeps up. */
    Duration lag();

    /** Runs a task on the event loop after a delay, never within this method call. */
    Timer after(Duration delay, Runnable task);
}
