package pathlane.core;

import pathlane.decision.Outcome;

/** What happened to an established call, whichever controller hears of it. */
public sealed interface CallEvent {

    /** The id of the call. */
    String callId();

    /** Its client released it; the content is for its server, empty where there is none. */
    record Released(String callId, byte[] content) implements CallEvent {}

    /** It came to its end at its server, or was cut. */
    record Ended(String callId, Outcome outcome) implements CallEvent {}
}
