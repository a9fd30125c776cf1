package pathlane.core;

import java.time.Duration;
import java.time.Instant;

/** Time, as one event loop sees it. Everything in the core runs on that loop's thread. */
public interface Scheduler {

    /** A timer that can be taken back. */
    interface Timer {
        /** It does not run any more; nothing happens where it has. */
        void cancel();
    }

    /** The system's Unix time; never earlier than it was at the last call. */
    Instant now();

    /** How long what is being handled now may have waited for an own stall; nought while the loop keeps up. */
    Duration lag();

    /** Runs a task on the loop after so long, never within this call. */
    Timer after(Duration delay, Runnable task);
}
