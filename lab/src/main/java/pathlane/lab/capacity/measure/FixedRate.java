package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Runs a step at a fixed rate on the calling thread; a late step does not delay the schedule of later ones. */
final class FixedRate {

    /** Parking may overrun by this much, so the last part of a wait spins. */
    private static final long SPIN_NANOS = 150_000;
    private static final double NANOS_IN_SECOND = 1e9;

    private FixedRate() {}

    /** A step of a run at a fixed rate. */
    interface Step {
        /** Runs the step that was scheduled for this time of {@link System#nanoTime}. */
        void at(long meantNanos) throws IOException;
    }

    static void run(double perSecond, Duration length, Step step) throws IOException {
        long steps = Math.round(perSecond * length.toNanos() / NANOS_IN_SECOND);
        long start = System.nanoTime();
        for (long i = 0; i < steps; i++) {
            long scheduledNanos = start + (long) (i * NANOS_IN_SECOND / perSecond);
            await(scheduledNanos);
            step.at(scheduledNanos);
        }
    }

    private static void await(long until) {
        for (long remaining = until - System.nanoTime(); remaining > 0; remaining = until - System.nanoTime()) {
            if (remaining > SPIN_NANOS) {
                LockSupport.parkNanos(remaining - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
