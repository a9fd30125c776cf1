package pathlane.lab.discovery;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import pathlane.core.Scheduler;

/** Records the events of one run in order: always as a hash, and as lines of text if a reader is given. */
final class EventTrace {

    private final Scheduler time;
    private final Instant start;
    private final Consumer<String> lines;
    private final boolean hasReader;
    private final HashStream64 hash = Hashing.xxh3_64().hashStream();

    /** Creates a trace that is only hashed. */
    EventTrace(Scheduler time) {
        this(time, line -> {}, false);
    }

    /** Creates a trace whose lines are also passed to a reader. */
    EventTrace(Scheduler time, Consumer<String> lines) {
        this(time, lines, true);
    }

    private EventTrace(Scheduler time, Consumer<String> lines, boolean hasReader) {
        this.time = time;
        this.start = time.now();
        this.lines = lines;
        this.hasReader = hasReader;
    }

    /** Records an event of a process at the current time. */
    void record(String process, String event) {
        hash.putLong(nanos()).putString(process).putString(event);
        lines.accept(time() + " " + process + " " + event);
    }

    /** Records a message between two processes; its text is built only if there is a reader. */
    void message(String from, String to, byte[] payload, Object message) {
        hash.putLong(nanos()).putString(from).putString(to).putByteArray(payload);
        if (hasReader) {
            lines.accept(time() + " " + from + " > " + to + " " + message);
        }
    }

    /** Returns the hash of all events so far. */
    long hash() {
        return hash.getAsLong();
    }

    /** Formats the seconds of virtual time since the start. */
    String time() {
        return String.format("%9.4f", nanos() / 1e9);
    }

    private long nanos() {
        return Duration.between(start, time.now()).toNanos();
    }
}
