package pathlane.decision.policy;

/**
 * Limits the rate of requests to a server that gets less than one per latency limit from this controller: otherwise many
 * such controllers would keep the server overloaded by one request each. A late answer to a lone request starts pacing at an
 * interval; further late answers lengthen the interval, and prompt ones shorten and finally end it.
 */
final class Pacer {

    /** A prompt answer divides the interval by at most this factor; a late one multiplies it by at most its square. */
    private static final double MAX_CHANGE_FACTOR = 2;
    /** The longest interval, in intervals of an even spread: the server must be retried soon enough to notice recovery. */
    private static final double MAX_EVEN_INTERVALS = 8;

    private final double shortestLimit;
    /** The minimum time between requests, in milliseconds; 0 while the server is not paced. */
    double interval;
    private double lengthenedAt = Double.NEGATIVE_INFINITY;

    Pacer(double shortestLimit) {
        this.shortestLimit = shortestLimit;
    }

    void reset() {
        interval = 0;
    }

    /**
     * Records the delay that an answer, a rejection or a timeout showed.
     *
     * @param outstanding how many requests were outstanding at the server, this one included
     * @param evenInterval the interval if requests were spread evenly over all slots: pacing starts at this interval, and
     *            ends when the interval is no longer than this
     */
    void observe(double now, PendingCall call, double delay, int outstanding, double evenInterval) {
        boolean isLate = delay >= shortestLimit * OverloadDetector.MARGIN && outstanding == 1;
        if (evenInterval < shortestLimit) {
            interval = 0;
        } else if ((interval > 0 || isLate) && (call.sentAt() >= lengthenedAt || call.isOverdue())) {
            double change = Math.sqrt(delay / (shortestLimit * ServerState.GOOD_DELAY_FRACTION));
            change = Math.max(1 / MAX_CHANGE_FACTOR, Math.min(MAX_CHANGE_FACTOR * MAX_CHANGE_FACTOR, change));
            lengthenedAt = change > 1 ? now : lengthenedAt;
            interval = Math.min(MAX_EVEN_INTERVALS * evenInterval, Math.max(interval, evenInterval) * change);
            interval = change < 1 && interval <= evenInterval ? 0 : interval;
        }
    }
}
