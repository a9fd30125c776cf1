package pathlane.lab.scale;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import pathlane.core.Scheduler;
import pathlane.discovery.InForceTracker;
import pathlane.discovery.ProgressReport;
import pathlane.discovery.Revision;

/**
 * How the source sees the changes come in force: by the progress that relays report.
 * On the source's loop.
 */
final class RootView {

    private static final Duration LOOK_EVERY = Duration.ofMillis(100);
    private static final double MILLI = 1000;

    private final Supplier<ProgressReport> progress;
    private final Scheduler scheduler;
    private final InForceTracker tracker = new InForceTracker();
    private Histogram micros = InForceRecorder.empty();
    private boolean isNoting;
    private Revision lastInForce = Revision.NONE;

    RootView(Supplier<ProgressReport> progress, Scheduler scheduler) {
        this.progress = progress;
        this.scheduler = scheduler;
        look();
    }

    private void look() {
        for (InForceTracker.InForce reached : tracker.progress(progress.get(), scheduler.now())) {
            micros.recordValue(Math.max(0, reached.after().toNanos() / ChronoUnit.MICROS.getDuration().toNanos()));
            lastInForce = reached.revision();
        }
        scheduler.after(LOOK_EVERY, this::look);
    }

    /** A revision was committed. Those before the first day are not counted. */
    void committed(Revision revision, Instant at) {
        if (isNoting) {
            tracker.recordCommit(revision, at);
        }
    }

    /** Figures start from nought. */
    void beginDay() {
        isNoting = true;
        micros = InForceRecorder.empty();
    }

    /** Whether the source has heard that everything up to this revision is in force everywhere. */
    boolean isInForce(long revision) {
        return lastInForce.number() >= revision;
    }

    DayResult.RootFigures figures() {
        return new DayResult.RootFigures(micros.getTotalCount(), micros.getValueAtPercentile(50) / MILLI,
                micros.getValueAtPercentile(99) / MILLI, micros.getMaxValue() / MILLI);
    }
}
