package pathlane.decision.support;

/** The mean of figures that some of a group have reported, each of them changing now and then. Not thread-safe. */
public final class MeanOfReported {

    private double sum;
    private int count;

    /** One's figure has changed; nought before where it had reported none. */
    public void update(double before, double after) {
        count += before == 0 && after > 0 ? 1 : 0;
        sum += after - before;
    }

    /** The mean of what was reported, or the other value where nothing was. */
    public double orElse(double other) {
        return count > 0 ? sum / count : other;
    }
}
