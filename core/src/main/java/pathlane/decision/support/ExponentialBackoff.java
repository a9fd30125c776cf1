package pathlane.decision.support;

/**
 * A pause after failures: the retry delay that the peer requests, or one that doubles with each consecutive failure,
 * whichever is longer. Not thread-safe; times are milliseconds on the policy's clock.
 */
public final class ExponentialBackoff {

    private final double initialPause;
    private final int maxDoublings;
    private int consecutiveFailures;
    private double lastFailureAt = Double.NEGATIVE_INFINITY;
    private double pausedUntil = Double.NEGATIVE_INFINITY;

    /** Creates a backoff without failures; the initial pause doubles up to {@code maxDoublings} times. */
    public ExponentialBackoff(double initialPause, int maxDoublings) {
        this.initialPause = initialPause;
        this.maxDoublings = maxDoublings;
    }

    /**
     * Records the failure, now, of an operation. One that was started before the last failure is not counted again.
     *
     * @param retryAfter the retry delay that the peer requests, or 0
     * @return whether it counts as one more consecutive failure
     */
    public boolean recordFailure(double now, double startedAt, double retryAfter) {
        boolean isNew = startedAt > lastFailureAt;
        if (isNew) {
            consecutiveFailures++;
            lastFailureAt = now;
        }
        // The failure of an operation that was started before the last success adds no exponential pause.
        double pause =
                consecutiveFailures == 0 ? 0 : initialPause * (1 << Math.min(consecutiveFailures - 1, maxDoublings));
        pausedUntil = Math.max(pausedUntil, now + Math.max(retryAfter, pause));
        return isNew;
    }

    /** Resets the number of consecutive failures; a current pause stays in force. */
    public void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Resets everything, for a peer that has restarted: a current pause ends as well. */
    public void reset() {
        consecutiveFailures = 0;
        pausedUntil = Double.NEGATIVE_INFINITY;
    }

    /** The number of consecutive failures. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** When the pause ends. */
    public double pausedUntil() {
        return pausedUntil;
    }
}
