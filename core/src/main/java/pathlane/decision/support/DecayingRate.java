package pathlane.decision.support;

/**
 * The recent rate of an event, in events per millisecond: the weight of each event decays exponentially with its age. Not
 * thread-safe; times are milliseconds on the policy's clock.
 */
public final class DecayingRate {

    private final double timeConstant;
    private double value;
    private double countedAt;

    /** Creates a rate of 0; {@code timeConstant} is that of the decay, in milliseconds, above 0. */
    public DecayingRate(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    /** Counts an event that happened now. */
    public void count(double now) {
        value = at(now) + 1 / timeConstant;
        countedAt = now;
    }

    /** The rate at the given time, which must not be before the last event. */
    public double at(double now) {
        return value * Math.exp((countedAt - now) / timeConstant);
    }

    /** The rate as of the last event. */
    public double last() {
        return value;
    }
}
