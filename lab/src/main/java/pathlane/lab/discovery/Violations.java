package pathlane.lab.discovery;

import java.util.Optional;

/** The first invariant that was broken in one play. */
final class Violations {

    private final EventTrace trace;
    private String first;

    Violations(EventTrace trace) {
        this.trace = trace;
    }

    /** Notes that an invariant was broken; all but the first are left out. */
    void report(String who, String what) {
        if (first == null) {
            first = trace.time() + " " + who + ": " + what;
            trace.note(who, "VIOLATION " + what);
        }
    }

    boolean isEmpty() {
        return first == null;
    }

    Optional<String> first() {
        return Optional.ofNullable(first);
    }
}
