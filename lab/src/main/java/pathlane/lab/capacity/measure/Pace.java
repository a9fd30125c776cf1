package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Runs a step at an even rate on the calling thread; one that is late does not move those that follow. */
final class Pace {

    /** Parking may end this much late; the rest of a wait is spun. */
    private static final long SPUN_NANOS = 150_000;
    private static final double NANOS_IN_SECOND = 1e9;

    private Pace() { }

    /** A step of a paced run. */
    interface Step {
        /** Runs the step that was meant for this time of {@link System#nanoTime}. */
        void at(long meantNanos) throws IOException;
    }

    static void run(double perSecond, Duration length, Step step) throws IOException {
        long steps = Math.round(perSecond * length.toNanos() / NANOS_IN_SECOND);
        long begun = System.nanoTime();
        for (long i = 0; i < steps; i++) {
            long meant = begun + (long) (i * NANOS_IN_SECOND / perSecond);
            await(meant);
            step.at(meant);
        }
    }

    private static void await(long until) {
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            if (left > SPUN_NANOS) {
                LockSupport.parkNanos(left - SPUN_NANOS);
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
