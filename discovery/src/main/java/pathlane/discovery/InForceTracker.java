package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * At the source: how long each change took until the last controller had it in force. Controllers that are connected, to
 * the source or to a relay with a way to it, are counted; others are not known here. On the loop's thread.
 */
public final class InForceTracker {

    /** Revisions that wait for the last controller; the oldest are given up beyond that. */
    private static final int MAX_WAITING = 16_384;
    /** The latest times that percentiles are taken of. */
    private static final int MAX_TIMES = 16_384;

    /** A revision that every controller has in force, and how long after its commit the last one had. */
    public record InForce(Revision revision, Duration after) {}

    private record Committed(Revision revision, Instant at) {}

    private final Deque<Committed> waiting = new ArrayDeque<>();
    private final Deque<Duration> times = new ArrayDeque<>();
    private long givenUp;

    /** A revision was committed; each must come after the one before. */
    public void note(Revision revision, Instant committed) {
        waiting.add(new Committed(revision, committed));
        if (waiting.size() > MAX_WAITING) {
            waiting.remove();
            givenUp++;
        }
    }

    /**
     * The controllers' progress, now. Returns what is in force everywhere since the last call, oldest first. While there is
     * no controller, what waits is in force nowhere, and is dropped.
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

    /** Whether some revision is not known to be in force everywhere. */
    public boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** Revisions that are not known to be in force everywhere. */
    public int waiting() {
        return waiting.size();
    }

    /** Revisions that were given up since too many waited. */
    public long givenUp() {
        return givenUp;
    }

    /** The times that percentiles are taken of, at most the latest 16,384. */
    public int times() {
        return times.size();
    }

    /**
     * The time within which so many of 100 of the latest revisions were in force everywhere (nearest rank); empty where
     * there was none.
     *
     * @param percent above 0, up to 100
     */
    public Optional<Duration> percentile(double percent) {
        if (!(percent > 0 && percent <= 100)) {
            throw new IllegalArgumentException("percentile " + percent);
        }
        if (times.isEmpty()) {
            return Optional.empty();
        }
        List<Duration> sorted = times.stream().sorted().toList();
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return Optional.of(sorted.get(Math.max(1, rank) - 1));
    }
}
