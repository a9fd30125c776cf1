package pathlane.decision.support;

/**
 * How often something lately happened, in events a millisecond: each event counts for less the longer ago it was, by an
 * exponential decay. Not thread-safe; times are milliseconds on the caller's clock.
 */
public final class DecayingRate {

    private final double span;
    private double value;
    private double countedAt;

    /** A rate of nought; {@code span} is the time constant of the decay, in milliseconds, above nought. */
    public DecayingRate(double span) {
        this.span = span;
    }

    /** An event happened now. */
    public void count(double now) {
        value = at(now) + 1 / span;
        countedAt = now;
    }

    /** The rate as it stands at this time, which is not before the last event. */
    public double at(double now) {
        return value * Math.exp((countedAt - now) / span);
    }

    /** The rate as it stood at the last event. */
    public double last() {
        return value;
    }
}
