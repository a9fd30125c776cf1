package pathlane.decision.support;

/** The one timer that was asked for and has not fired. Not thread-safe; times are milliseconds on the caller's clock. */
public final class RequestedTimer {

    private double dueAt = Double.NaN;

    /** Something happens now: a timer that is due has fired. Returns how late it is; nought where none is due. */
    public double fire(double now) {
        if (Double.isNaN(dueAt) || now < dueAt) {
            return 0;
        }
        double late = now - dueAt;
        dueAt = Double.NaN;
        return late;
    }

    /** A timer is wanted for a time; says whether it has to be asked for, since none is due as early. */
    public boolean request(double at) {
        boolean isEarlier = Double.isNaN(dueAt) || at < dueAt;
        dueAt = isEarlier ? at : dueAt;
        return isEarlier;
    }
}
