package pathlane.decision.support;

/** The history of a destination since its last successful request. Times are milliseconds on the policy's clock. */
public final class DestinationRecord {

    private double firstArrivalAt;
    private double lastBusyAt = Double.NEGATIVE_INFINITY;
    private double interval;
    private double nextSendAt;

    /** Records a failed request whose client sent its first request for the call at the given time. */
    public void recordFailure(double firstRequestAt) {
        firstArrivalAt = firstRequestAt;
    }

    /**
     * Records that the destination was busy, and doubles the interval within the bounds. A request sent before the
     * destination was last found busy changes nothing; returns false for it.
     */
    public boolean recordBusy(double now, double sentAt, double minInterval, double maxInterval) {
        if (sentAt < lastBusyAt) {
            return false;
        }
        lastBusyAt = now;
        interval = Math.min(Math.max(interval + interval, minInterval), maxInterval);
        return true;
    }

    /** Records that a request is sent now; returns when the next one may be sent. */
    public double recordSent(double now) {
        nextSendAt = now + interval;
        return nextSendAt;
    }

    /** When the first of the requests for the last failed call arrived. */
    public double firstArrivalAt() {
        return firstArrivalAt;
    }

    /** When the next request may be sent. */
    public double nextSendAt() {
        return nextSendAt;
    }

    /** Whether the record may be dropped: no client still waits, and the current interval has passed. */
    public boolean isExpired(double now, double longestDeadline) {
        return now - firstArrivalAt > longestDeadline && now > nextSendAt + interval;
    }
}
