package pathlane.decision.support;

/**
 * A debounced value: it changes only after a number of consecutive detections of the same new value. Not thread-safe.
 *
 * @param <T> the type of the value, compared by {@code equals}
 */
public final class ConsecutiveDetections<T> {

    private final int required;
    private T value;
    private T lastDetected;
    private int consecutive;

    /** {@code required} is the number of consecutive detections that change the value, at least 1. */
    public ConsecutiveDetections(int required, T initial) {
        this.required = required;
        value = initial;
        lastDetected = initial;
    }

    /** Records one detection; returns whether it changed the value. */
    public boolean record(T detected) {
        consecutive = detected.equals(lastDetected) ? consecutive + 1 : 1;
        lastDetected = detected;
        boolean isChange = consecutive >= required && !detected.equals(value);
        value = isChange ? detected : value;
        return isChange;
    }

    /** The current value. */
    public T value() {
        return value;
    }

    /** Sets the value regardless of the last detections. */
    public void set(T newValue) {
        value = newValue;
    }
}
