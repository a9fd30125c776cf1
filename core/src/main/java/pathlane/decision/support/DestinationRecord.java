package pathlane.decision.support;

/** What is remembered of a destination that was requested without success. Times are the caller's milliseconds. */
public final class DestinationRecord {

    private double firstArrivalAt;
    private double busyAt = Double.NEGATIVE_INFINITY;
    private double interval;
    private double nextPassAt;

    /** A request failed; the first one for the same came at this time. */
    public void failed(double firstRequestAt) {
        firstArrivalAt = firstRequestAt;
    }

    /** It is busy again, unless the request was sent before that was last seen: its interval doubles within bounds. */
    public boolean busy(double now, double sentAt, double shortest, double longest) {
        if (sentAt < busyAt) {
            return false;
        }
        busyAt = now;
        interval = Math.min(Math.max(interval + interval, shortest), longest);
        return true;
    }

    /** A request goes now; returns when the next may. */
    public double pass(double now) {
        nextPassAt = now + interval;
        return nextPassAt;
    }

    /** When the first of the requests for it came. */
    public double firstArrivalAt() {
        return firstArrivalAt;
    }

    /** When the next request may go. */
    public double nextPassAt() {
        return nextPassAt;
    }

    /** Whether nothing is left to remember, once no client waits for longer than this. */
    public boolean isExpired(double now, double longestDeadline) {
        return now - firstArrivalAt > longestDeadline && now > nextPassAt + interval;
    }
}
