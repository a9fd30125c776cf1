package pathlane.decision.support;

/** The mean of a value that some members of a group have reported, updated as members report changes. Not thread-safe. */
public final class MeanOfReported {

    private double sum;
    private int count;

    /** Replaces one member's value; {@code before} is 0 if it had not reported one. */
    public void update(double before, double after) {
        count += before == 0 && after > 0 ? 1 : 0;
        sum += after - before;
    }

    /** The mean of the reported values, or the default if none was reported. */
    public double orElse(double defaultValue) {
        return count > 0 ? sum / count : defaultValue;
    }
}
