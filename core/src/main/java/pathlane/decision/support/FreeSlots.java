package pathlane.decision.support;

/** The free slots of one server as far as they are this controller's, for calls of first choice and for others. */
public final class FreeSlots {

    private double preferred;
    private double others;
    private double reportedAt = Double.NEGATIVE_INFINITY;

    /** So many are free as of now, in milliseconds on the caller's clock. */
    public void report(double now, double preferredSlots, double otherSlots) {
        preferred = preferredSlots;
        others = otherSlots;
        reportedAt = now;
    }

    /** So many were freed, or taken where negative. */
    public void add(double slots) {
        preferred += slots;
        others += slots;
    }

    /** Whether there are so many, or the last report is as old as {@code maxAge}, so that it says nothing any more. */
    public boolean mayTake(double now, double slots, boolean isPreferred, double maxAge) {
        return (isPreferred ? preferred : others) >= slots || now - reportedAt >= maxAge;
    }
}
