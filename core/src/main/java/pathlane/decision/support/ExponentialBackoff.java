package pathlane.decision.support;

/**
 * A pause after failures: the wait that the other side states, or one that doubles with each failure in a row, whichever is
 * longer. Not thread-safe; times are milliseconds on the caller's clock.
 */
public final class ExponentialBackoff {

    private final double shortest;
    private final int mostDoublings;
    private int failures;
    private double failedAt = Double.NEGATIVE_INFINITY;
    private double pausedUntil = Double.NEGATIVE_INFINITY;

    /** No failure yet; {@code shortest} is the first pause, which doubles up to {@code mostDoublings} times. */
    public ExponentialBackoff(double shortest, int mostDoublings) {
        this.shortest = shortest;
        this.mostDoublings = mostDoublings;
    }

    /**
     * Something that was begun at a time has failed now. What was begun before the last failure tells nothing new.
     *
     * @param statedWait the wait that the other side asks for, or nought
     * @return whether it counts as one more failure in a row
     */
    public boolean recordFailure(double now, double begunAt, double statedWait) {
        boolean isNew = begunAt > failedAt;
        if (isNew) {
            failures++;
            failedAt = now;
        }
        // A failure of what was begun before the last success adds no pause of its own.
        double grown = failures == 0 ? 0 : shortest * (1 << Math.min(failures - 1, mostDoublings));
        pausedUntil = Math.max(pausedUntil, now + Math.max(statedWait, grown));
        return isNew;
    }

    /** The next failure is the first in a row again; a pause that runs is kept. */
    public void recordSuccess() {
        failures = 0;
    }

    /** The other side is a new one: a pause that runs ends too. */
    public void reset() {
        failures = 0;
        pausedUntil = Double.NEGATIVE_INFINITY;
    }

    /** Failures in a row. */
    public int failures() {
        return failures;
    }

    /** When the pause ends. */
    public double pausedUntil() {
        return pausedUntil;
    }
}
