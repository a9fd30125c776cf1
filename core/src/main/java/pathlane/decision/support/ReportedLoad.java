package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.LoadReport;

/** What a server reported of itself. Not thread-safe; times are milliseconds on the caller's clock. */
public final class ReportedLoad {

    private double slots;
    private double delay;
    private double delayAt = Double.NEGATIVE_INFINITY;

    /** A report has come; figures that it lacks stay as they were. */
    public void update(double now, LoadReport report) {
        slots = report.slots() > 0 ? report.slots() : slots;
        if (report.requestsPerSecond() > 0 && report.queued() >= 0) {
            delay = 1000 * report.queued() / report.requestsPerSecond();
            delayAt = now;
        }
    }

    /** All slots of the server; nought where it has reported none. */
    public double slots() {
        return slots;
    }

    /** The wait that its queue makes, in milliseconds; nought where none was reported within {@code maxAge}. */
    public double delay(double now, double maxAge) {
        return now - delayAt < maxAge ? delay : 0;
    }
}
