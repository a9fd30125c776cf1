package pathlane.lab.scale;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** The end of a run's time: whatever has not come about by then is an error. */
final class Deadline {

    private final long atNanos;

    Deadline(Duration fromNow) {
        atNanos = System.nanoTime() + fromNow.toNanos();
    }

    /** @throws IllegalStateException with what is missing, where the time is over */
    void check(Supplier<String> missing) {
        if (System.nanoTime() > atNanos) {
            throw new IllegalStateException("the run's time is over: " + missing.get());
        }
    }

    /** Waits for something that is under way. */
    void await(CompletableFuture<Void> done, String what) throws InterruptedException {
        try {
            done.get(Math.max(0, atNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException("the run's time is over: " + what, e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(what + " failed: " + e.getCause(), e.getCause());
        }
    }
}
