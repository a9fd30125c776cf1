package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Measures at the source how long each change took until the last controller had applied it. Only controllers connected to
 * the source, or to a relay connected to it, are counted; others are unknown here. Not thread-safe: used on the event
 * loop's thread.
 */
public final class InForceTracker {

    /** Maximum number of revisions not applied everywhere yet; beyond that, the oldest are dropped. */
    private static final int MAX_WAITING = 16_384;
    /** Maximum number of times kept for percentiles. */
    private static final int MAX_TIMES = 16_384;

    /**
     * A revision that every controller has applied, and the time from its commit until the last controller had applied it.
     */
    public record InForce(Revision revision, Duration after) {}

    private record Committed(Revision revision, Instant at) {}

    private final Deque<Committed> waiting = new ArrayDeque<>();
    private final Deque<Duration> times = new ArrayDeque<>();
    private long givenUp;

    /** Records the commit of a revision; each must be later than the previous one. */
    public void recordCommit(Revision revision, Instant committed) {
        waiting.add(new Committed(revision, committed));
        if (waiting.size() > MAX_WAITING) {
            waiting.remove();
            givenUp++;
        }
    }

    /**
     * Processes a progress report. Returns the revisions that became applied everywhere since the last call, oldest first.
     * If there are no controllers, all waiting revisions are dropped.
     */
    public List<InForce> progress(ProgressReport report, Instant now) {
        if (report.levels().isEmpty()) {
            waiting.clear();
            return List.of();
        }
        Revision everywhere = report.levels().get(0).inForce();
        List<InForce> reached = new ArrayList<>();
        while (!waiting.isEmpty() && !waiting.peek().revision().isAfter(everywhere)) {
            Committed committed = waiting.remove();
            InForce inForce = new InForce(committed.revision(), Duration.between(committed.at(), now));
            addTime(inForce.after());
            reached.add(inForce);
        }
        return reached;
    }

    private void addTime(Duration time) {
        times.add(time);
        if (times.size() > MAX_TIMES) {
            times.remove();
        }
    }

    /** Whether some revision is not known to be applied everywhere. */
    public boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** The number of revisions not known to be applied everywhere. */
    public int waiting() {
        return waiting.size();
    }

    /** The number of revisions dropped because too many were waiting. */
    public long givenUp() {
        return givenUp;
    }

    /** The number of times kept for percentiles, at most the latest 16,384. */
    public int times() {
        return times.size();
    }

    /**
     * The given percentile (nearest rank) of the times in which the latest revisions were applied everywhere; empty if
     * there are no times.
     *
     * @param percent above 0, up to 100
     */
    public Optional<Duration> percentile(double percent) {
        if (!(percent > 0 && percent <= 100)) {
            throw new IllegalArgumentException("invalid percentile " + percent);
        }
        if (times.isEmpty()) {
            return Optional.empty();
        }
        List<Duration> sorted = times.stream().sorted().toList();
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return Optional.of(sorted.get(Math.max(1, rank) - 1));
    }
}
