package pathlane.decision.support;

/** The maximum of the observed values, each decaying exponentially with age. Not thread-safe; times are milliseconds. */
public final class DecayingMaximum {

    private final double timeConstant;
    private double value;
    private double observedAt;

    /** Creates a maximum of 0; {@code timeConstant} is that of the decay, in milliseconds. */
    public DecayingMaximum(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    /** Records a value observed now. */
    public void observe(double now, double observed) {
        value = Math.max(observed, value * Math.exp((observedAt - now) / timeConstant));
        observedAt = now;
    }

    /** The maximum as of the last observation. */
    public double last() {
        return value;
    }
}
