package pathlane.core;

import pathlane.decision.Gateway.Ending;

/** What happened to a call that stands, whoever hears of it. */
public sealed interface CallEvent {

    /** Which call. */
    String call();

    /** Its caller released it; the content is for its server, empty where there is none. */
    record Released(String call, byte[] content) implements CallEvent {}

    /** It came to its end at its server, or was cut. */
    record Ended(String call, Ending how) implements CallEvent {}
}
