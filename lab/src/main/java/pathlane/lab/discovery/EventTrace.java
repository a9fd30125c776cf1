package pathlane.lab.discovery;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import pathlane.core.Scheduler;

/** All that happened in one play, in its order: always as a hash, and as lines of text for who wants them. */
final class EventTrace {

    private final Scheduler time;
    private final Instant begin;
    private final Consumer<String> lines;
    private final boolean hasReader;
    private final HashStream64 hash = Hashing.xxh3_64().hashStream();

    /** A trace that is only hashed. */
    EventTrace(Scheduler time) {
        this(time, line -> {}, false);
    }

    /** A trace whose lines are handed on as well. */
    EventTrace(Scheduler time, Consumer<String> lines) {
        this(time, lines, true);
    }

    private EventTrace(Scheduler time, Consumer<String> lines, boolean hasReader) {
        this.time = time;
        this.begin = time.now();
        this.lines = lines;
        this.hasReader = hasReader;
    }

    /** Notes what somebody did or suffered now. */
    void note(String who, String what) {
        hash.putLong(nanos()).putString(who).putString(what);
        lines.accept(time() + " " + who + " " + what);
    }

    /** Notes a message between two; its text is made only where somebody reads. */
    void message(String from, String to, byte[] payload, Object message) {
        hash.putLong(nanos()).putString(from).putString(to).putByteArray(payload);
        if (hasReader) {
            lines.accept(time() + " " + from + " > " + to + " " + message);
        }
    }

    /** The hash of everything up to now. */
    long hash() {
        return hash.getAsLong();
    }

    /** Seconds of virtual time since the beginning, for people. */
    String time() {
        return String.format("%9.4f", nanos() / 1e9);
    }

    private long nanos() {
        return Duration.between(begin, time.now()).toNanos();
    }
}
