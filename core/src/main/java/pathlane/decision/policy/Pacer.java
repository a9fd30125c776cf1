package pathlane.decision.policy;

/**
 * Spaces requests to a server that gets less than one a latency limit from this controller: many such controllers would else
 * feed a jam by one request each. A late lone request opens an interval, which late ones widen and prompt ones close.
 */
final class Pacer {

    /** The most by which a prompt answer divides the interval; a late one may multiply it so twice. */
    private static final double MOST_CHANGE = 2;
    /** The longest interval, in intervals of an even spread: a server is tried again while its fault may end. */
    private static final double MOST_EVEN_INTERVALS = 8;

    private final double shortestLimit;
    /** How far apart requests are sent, in milliseconds; nought while they are not spaced. */
    double interval;
    private double widenedAt = Double.NEGATIVE_INFINITY;

    Pacer(double shortestLimit) {
        this.shortestLimit = shortestLimit;
    }

    void reset() {
        interval = 0;
    }

    /** An answer, a rejection or a time-out showed a delay; an interval opens at that of an even spread over the slots. */
    void observe(double now, PendingCall call, double delay, int outstanding, double evenInterval) {
        boolean isLate = delay >= shortestLimit * OverloadDetector.MARGIN && outstanding == 1;
        if (evenInterval < shortestLimit) {
            interval = 0;
        } else if ((interval > 0 || isLate) && (call.sentAt() >= widenedAt || call.isOverdue())) {
            double change = Math.sqrt(delay / (shortestLimit * ServerState.GOOD_SHARE));
            change = Math.max(1 / MOST_CHANGE, Math.min(MOST_CHANGE * MOST_CHANGE, change));
            widenedAt = change > 1 ? now : widenedAt;
            interval = Math.min(MOST_EVEN_INTERVALS * evenInterval, Math.max(interval, evenInterval) * change);
            interval = change < 1 && interval <= evenInterval ? 0 : interval;
        }
    }
}
