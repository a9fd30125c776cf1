package pathlane.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Arrays;

/** A line for each step in the life of each call, where a level of FINE is asked for. */
final class CallTrace {

    private static final Logger TRACE = System.getLogger("calls");

    private CallTrace() {}

    /** {@code values} are for the text's places; spans are written in milliseconds, servers in hex. */
    static void step(String id, String text, Object... values) {
        if (TRACE.isLoggable(Level.DEBUG)) {
            Object[] plain = Arrays.stream(values).map(value -> value instanceof Duration span
                    ? Long.toString(span.toMillis()) : value instanceof Long server ? Long.toHexString(server) : value)
                    .toArray();
            TRACE.log(Level.DEBUG, "call " + id + ": " + text, plain);
        }
    }
}
