package pathlane.config;

import java.time.Duration;
import java.time.Instant;

/** The one place where the module's milliseconds, which are doubles, meet the language's own types. */
public final class Millis {

    private static final double NANOS = 1e6;
    /** Spans are cut to this: longer than anything here lasts, and short of an overflow. */
    private static final double MOST = 1e11;

    private Millis() {}

    /** A span in milliseconds. */
    public static double of(Duration span) {
        return span.getSeconds() * 1e3 + span.getNano() / NANOS;
    }

    /** A time in milliseconds since the Unix epoch. */
    public static double of(Instant time) {
        return time.getEpochSecond() * 1e3 + time.getNano() / NANOS;
    }

    /** The span of so many milliseconds. */
    public static Duration span(double millis) {
        if (Double.isNaN(millis)) {
            throw new IllegalArgumentException("a span is missing");
        }
        return Duration.ofNanos(Math.round(Math.max(-MOST, Math.min(MOST, millis)) * NANOS));
    }
}
