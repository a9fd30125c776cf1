package pathlane.config;

import java.time.Duration;
import java.time.Instant;

/** Converts between the policy's milliseconds, which are doubles, and {@link Duration} and {@link Instant}. */
public final class Millis {

    private static final double NANOS_PER_MILLI = 1e6;
    /** Durations are limited to this many milliseconds: longer than any duration in use, and safe from overflow. */
    private static final double MAX_MILLIS = 1e11;

    private Millis() {}

    /** Returns a duration in milliseconds. */
    public static double of(Duration duration) {
        return duration.getSeconds() * 1e3 + duration.getNano() / NANOS_PER_MILLI;
    }

    /** Returns a time in milliseconds since the Unix epoch. */
    public static double of(Instant time) {
        return time.getEpochSecond() * 1e3 + time.getNano() / NANOS_PER_MILLI;
    }

    /**
     * Returns a duration of this many milliseconds, limited to about three years in either direction.
     *
     * @throws IllegalArgumentException if the value is NaN
     */
    public static Duration toDuration(double millis) {
        if (Double.isNaN(millis)) {
            throw new IllegalArgumentException("duration is not a number");
        }
        return Duration.ofNanos(Math.round(Math.max(-MAX_MILLIS, Math.min(MAX_MILLIS, millis)) * NANOS_PER_MILLI));
    }
}
