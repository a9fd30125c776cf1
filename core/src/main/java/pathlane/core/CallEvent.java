package pathlane.core;

import pathlane.decision.Outcome;

/** An event of an established call, which may reach any controller of the group. */
public sealed interface CallEvent {

    /** Returns the id of the call. */
    String callId();

    /** The client released the call; the content is for the server, empty if there is none. */
    record Released(String callId, byte[] content) implements CallEvent {}

    /** The call completed at its server, or was lost. */
    record Ended(String callId, Outcome outcome) implements CallEvent {}
}
