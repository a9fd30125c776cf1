package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.LoadReport;

/** The load that a server reported. Not thread-safe; times are milliseconds on the policy's clock. */
public final class ReportedLoad {

    private double slots;
    private double delay;
    private double delayAt = Double.NEGATIVE_INFINITY;

    /** Applies a report; values missing from it keep their last state. */
    public void update(double now, LoadReport report) {
        slots = report.slots() > 0 ? report.slots() : slots;
        if (report.requestsPerSecond() > 0 && report.queuedRequests() >= 0) {
            delay = 1000 * report.queuedRequests() / report.requestsPerSecond();
            delayAt = now;
        }
    }

    /** The server's total slots; 0 if it has not reported them. */
    public double slots() {
        return slots;
    }

    /** The delay caused by the server's queue, in milliseconds; 0 if none was reported within {@code maxAge}. */
    public double delay(double now, double maxAge) {
        return now - delayAt < maxAge ? delay : 0;
    }
}
