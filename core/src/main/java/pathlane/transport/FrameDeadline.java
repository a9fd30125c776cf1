package pathlane.transport;

import java.time.Duration;
import java.util.Optional;
import pathlane.core.Scheduler;

/**
 * Limits how long a message may take from its first byte to its last. One that is begun and never ended is no error in what
 * came, and nothing more would ever be read on its connection. On the loop's thread.
 */
public final class FrameDeadline {

    private final Scheduler scheduler;
    private final Duration most;
    private final Runnable overdue;
    private Optional<Scheduler.Timer> timer = Optional.empty();

    /** {@code most} runs from a message's first byte to its last, however its bytes come in. */
    public FrameDeadline(Scheduler scheduler, Duration most, Runnable overdue) {
        this.scheduler = scheduler;
        this.most = most;
        this.overdue = overdue;
    }

    /** Bytes came: so many messages ended with them, and another has begun or not. */
    public void bytesReceived(int messagesEnded, boolean hasBegun) {
        if (messagesEnded > 0 || !hasBegun) {
            stop();
        }
        if (hasBegun && timer.isEmpty()) {
            timer = Optional.of(scheduler.after(most, () -> {
                timer = Optional.empty();
                overdue.run();
            }));
        }
    }

    /** Nothing is awaited any more. */
    public void stop() {
        timer.ifPresent(Scheduler.Timer::cancel);
        timer = Optional.empty();
    }
}
