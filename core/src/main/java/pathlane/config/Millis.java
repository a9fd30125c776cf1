package pathlane.config;

import java.time.Duration;
import java.time.Instant;

/** The one place where the policy's milliseconds, which are doubles, meet the language's own types. */
public final class Millis {

    private static final double NANOS = 1e6;
    /** Durations are cut to this: longer than anything here lasts, and short of an overflow. */
    private static final double MOST = 1e11;

    private Millis() {}

    /** A duration in milliseconds. */
    public static double of(Duration duration) {
        return duration.getSeconds() * 1e3 + duration.getNano() / NANOS;
    }

    /** A time in milliseconds since the Unix epoch. */
    public static double of(Instant time) {
        return time.getEpochSecond() * 1e3 + time.getNano() / NANOS;
    }

    /**
     * The duration of so many milliseconds, cut to some three years either way.
     *
     * @throws IllegalArgumentException where it is not a number
     */
    public static Duration toDuration(double millis) {
        if (Double.isNaN(millis)) {
            throw new IllegalArgumentException("a span is missing");
        }
        return Duration.ofNanos(Math.round(Math.max(-MOST, Math.min(MOST, millis)) * NANOS));
    }
}
