package pathlane.decision.support;

/** The highest of the values that were seen, the older ones faded by an exponential decay. Not thread-safe. */
public final class DecayingMaximum {

    private final double span;
    private double value;
    private double seenAt;

    /** A maximum of nought; {@code span} is the time constant of the decay, in milliseconds. */
    public DecayingMaximum(double span) {
        this.span = span;
    }

    /** A value was seen now, in milliseconds on the caller's clock. */
    public void observe(double now, double seen) {
        value = Math.max(seen, value * Math.exp((seenAt - now) / span));
        seenAt = now;
    }

    /** The maximum as it stood when a value was last seen. */
    public double last() {
        return value;
    }
}
