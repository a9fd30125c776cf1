package pathlane.decision;

/** How often something lately happened: events a millisecond, fading over a span. */
final class DecayingRate {

    private final double span;
    private double value;
    private double countedAt;

    DecayingRate(double span) {
        this.span = span;
    }

    void count(double now) {
        value = at(now) + 1 / span;
        countedAt = now;
    }

    /** The rate as it stands at this time. */
    double at(double now) {
        return value * Math.exp((countedAt - now) / span);
    }

    /** The rate as it stood at the last event. */
    double last() {
        return value;
    }
}
