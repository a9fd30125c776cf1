package pathlane.core;

import java.time.Instant;
import java.util.Optional;

/**
 * The calls that ended recently. Late messages about them are ignored; a client that requests one of them again gets no
 * attempt sooner than the call itself would have had its next one. Runs on the event loop's thread.
 */
final class EndedCalls {

    /**
     * What a request with the same id has to respect.
     *
     * @param notBefore the earliest time at which another attempt may be sent
     * @param mayHaveRun whether a server may have acted on an attempt that was lost
     */
    record EndedCall(Instant notBefore, boolean mayHaveRun) {}

    private static final EndedCall WITHOUT_LOST_ATTEMPT = new EndedCall(Instant.MIN, false);

    private final RetainedEntries<EndedCall> calls = new RetainedEntries<>();

    /** Adds a call of which no attempt of this controller was lost. */
    void add(String callId, Instant now) {
        calls.put(callId, WITHOUT_LOST_ATTEMPT, now);
    }

    /** Adds a call of which an attempt was lost, or is given up now. */
    void add(String callId, EndedCall call, Instant now) {
        calls.put(callId, call, now);
    }

    Optional<EndedCall> find(String callId) {
        return calls.find(callId);
    }

    boolean contains(String callId) {
        return calls.find(callId).isPresent();
    }

    int size() {
        return calls.size();
    }
}
