package pathlane.transport;

import java.time.Duration;
import java.util.Optional;
import pathlane.core.Scheduler;

/**
 * Limits the time from a message's first byte to its last. A message that is never completed is not a parse error, so
 * without this limit its connection would hang forever. Runs on the event loop's thread.
 */
public final class FrameDeadline {

    private final Scheduler scheduler;
    private final Duration timeout;
    private final Runnable onTimeout;
    private Optional<Scheduler.Timer> timer = Optional.empty();

    /** {@code timeout} runs from a message's first byte to its last, however its bytes arrive. */
    public FrameDeadline(Scheduler scheduler, Duration timeout, Runnable onTimeout) {
        this.scheduler = scheduler;
        this.timeout = timeout;
        this.onTimeout = onTimeout;
    }

    /** Updates the timer after bytes were received that completed some messages and may contain the start of another. */
    public void bytesReceived(int messagesCompleted, boolean isMessageStarted) {
        if (messagesCompleted > 0 || !isMessageStarted) {
            stop();
        }
        if (isMessageStarted && timer.isEmpty()) {
            timer = Optional.of(scheduler.after(timeout, () -> {
                timer = Optional.empty();
                onTimeout.run();
            }));
        }
    }

    /** Cancels the timer. */
    public void stop() {
        timer.ifPresent(Scheduler.Timer::cancel);
        timer = Optional.empty();
    }
}
