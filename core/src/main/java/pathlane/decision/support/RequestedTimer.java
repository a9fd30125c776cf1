package pathlane.decision.support;

/** The time of the one timer that was requested and has not fired. Not thread-safe; times are in milliseconds. */
public final class RequestedTimer {

    private double dueAt = Double.NaN;

    /** Clears the timer if it is due, and returns how late it is; returns 0 if none is due. Called on every event. */
    public double fireIfDue(double now) {
        if (Double.isNaN(dueAt) || now < dueAt) {
            return 0;
        }
        double lateness = now - dueAt;
        dueAt = Double.NaN;
        return lateness;
    }

    /** Requests a timer; returns whether it must be scheduled, because none is due at that time or earlier. */
    public boolean request(double at) {
        boolean isEarlier = Double.isNaN(dueAt) || at < dueAt;
        dueAt = isEarlier ? at : dueAt;
        return isEarlier;
    }
}
