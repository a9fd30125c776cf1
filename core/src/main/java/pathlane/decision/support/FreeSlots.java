package pathlane.decision.support;

/** This controller's share of one server's free slots, counted separately for calls that prefer the server and others. */
public final class FreeSlots {

    private double preferredSlots;
    private double otherSlots;
    private double reportedAt = Double.NEGATIVE_INFINITY;

    /** Sets the free slots as of now, in milliseconds on the policy's clock. */
    public void report(double now, double preferred, double others) {
        preferredSlots = preferred;
        otherSlots = others;
        reportedAt = now;
    }

    /** Adds freed slots, or subtracts taken ones if negative. */
    public void add(double slots) {
        preferredSlots += slots;
        otherSlots += slots;
    }

    /** Whether that many slots are free, or the last report is at least {@code maxAge} old and therefore ignored. */
    public boolean mayTake(double now, double slots, boolean isPreferred, double maxAge) {
        return (isPreferred ? preferredSlots : otherSlots) >= slots || now - reportedAt >= maxAge;
    }
}
