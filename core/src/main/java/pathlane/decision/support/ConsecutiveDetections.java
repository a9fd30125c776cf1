package pathlane.decision.support;

/**
 * A value that changes only once so many detections in a row show another one. Not thread-safe.
 *
 * @param <T> what is detected, by {@code equals}
 */
public final class ConsecutiveDetections<T> {

    private final int needed;
    private T value;
    private T lastDetected;
    private int inARow;

    /** {@code needed} is how many detections in a row change the value, from 1. */
    public ConsecutiveDetections(int needed, T initial) {
        this.needed = needed;
        value = initial;
        lastDetected = initial;
    }

    /** Records one detection; says whether it changed the value. */
    public boolean record(T detected) {
        inARow = detected.equals(lastDetected) ? inARow + 1 : 1;
        lastDetected = detected;
        boolean isChange = inARow >= needed && !detected.equals(value);
        value = isChange ? detected : value;
        return isChange;
    }

    /** The value as it stands. */
    public T value() {
        return value;
    }

    /** Sets the value, whatever was detected lately. */
    public void set(T newValue) {
        value = newValue;
    }
}
