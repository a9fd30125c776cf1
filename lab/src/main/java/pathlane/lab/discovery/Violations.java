package pathlane.lab.discovery;

import java.util.Optional;

/** Holds the first invariant violation of one run. */
final class Violations {

    private final EventTrace trace;
    private String first;

    Violations(EventTrace trace) {
        this.trace = trace;
    }

    /** Reports an invariant violation; all but the first are ignored. */
    void report(String process, String violation) {
        if (first == null) {
            first = trace.time() + " " + process + ": " + violation;
            trace.record(process, "VIOLATION " + violation);
        }
    }

    boolean isEmpty() {
        return first == null;
    }

    Optional<String> first() {
        return Optional.ofNullable(first);
    }
}
