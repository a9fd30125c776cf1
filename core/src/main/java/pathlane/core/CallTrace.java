package pathlane.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Arrays;

/** Logs each step of each call's life cycle if the logger {@code calls} is set to level FINE. */
final class CallTrace {

    private static final Logger TRACE = System.getLogger("calls");

    private CallTrace() {}

    /** Logs a step; {@code values} fill the text's placeholders: durations in milliseconds, server ids in hexadecimal. */
    static void step(String id, String text, Object... values) {
        if (TRACE.isLoggable(Level.DEBUG)) {
            Object[] formatted = Arrays.stream(values).map(value -> value instanceof Duration duration
                    ? Long.toString(duration.toMillis())
                    : value instanceof Long serverId ? Long.toHexString(serverId) : value).toArray();
            TRACE.log(Level.DEBUG, "call " + id + ": " + text, formatted);
        }
    }
}
