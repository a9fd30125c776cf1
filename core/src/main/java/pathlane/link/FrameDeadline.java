package pathlane.link;

import java.time.Duration;
import pathlane.core.Scheduler;

/**
 * Guards a connection against a message that is begun and never ended: nothing is wrong with what came, and nothing
 * more would ever be read there.
 */
public final class FrameDeadline {

    private final Scheduler scheduler;
    private final Duration most;
    private final Runnable overdue;
    private Scheduler.Timer timer;

    /** {@code most} runs from a message's first byte to its last, however its bytes come in. */
    public FrameDeadline(Scheduler scheduler, Duration most, Runnable overdue) {
        this.scheduler = scheduler;
        this.most = most;
        this.overdue = overdue;
    }

    /** Bytes came: so many messages ended with them, and another has begun or not. */
    public void fed(int ended, boolean begun) {
        if (ended > 0 || !begun) {
            stop();
        }
        if (begun && timer == null) {
            timer = scheduler.after(most, () -> {
                timer = null;
                overdue.run();
            });
        }
    }

    /** Nothing is awaited any more. */
    public void stop() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
