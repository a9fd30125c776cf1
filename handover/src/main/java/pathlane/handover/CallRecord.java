package pathlane.handover;

import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * What a successor has to know of a call.
 *
 * @param server the server at which its attempt is in flight, it is established, or its release is pending
 * @param clientKey the name of its client; empty if any client connection reaches it
 * @param outcome the outcome of which its client has yet to be notified; COMPLETED in all other kinds
 * @param remaining how long from the record's creation the attempt may be in flight, or no request may be sent
 * @param releaseToken what its server needs beside the id to release the call; empty if it needs nothing, or in other kinds
 */
public record CallRecord(String callId, Kind kind, long server, String clientKey, Outcome outcome, Duration remaining,
        byte[] releaseToken) {

    /** What is left to do for the call. The ordinal is the number used in messages. */
    public enum Kind {
        /** An attempt is in flight: the call may be established by now, and no other request may be sent for it. */
        IN_FLIGHT,
        /** An attempt was lost or is over and the call continues: no request is sent for it for a while. */
        RETRY_DELAYED,
        /** The call is established. */
        ESTABLISHED,
        /** The client has yet to be notified of the call's end. */
        CLIENT_RELEASE_PENDING,
        /** The server has yet to be notified of the call's release. */
        SERVER_RELEASE_PENDING,
        /** Nothing is left to do; the record overrides older records of the call that a successor may look up. */
        COMPLETED
    }

    private static final byte[] NO_TOKEN = {};

    static CallRecord inFlight(String callId, long server, String clientKey, Duration remaining, byte[] releaseToken) {
        return new CallRecord(callId, Kind.IN_FLIGHT, server, clientKey, Outcome.COMPLETED, remaining, releaseToken);
    }

    static CallRecord retryDelayed(String callId, long server, String clientKey, Duration remaining, byte[] releaseToken) {
        return new CallRecord(callId, Kind.RETRY_DELAYED, server, clientKey, Outcome.COMPLETED, remaining, releaseToken);
    }

    static CallRecord established(String callId, long server, String clientKey, byte[] releaseToken) {
        return new CallRecord(callId, Kind.ESTABLISHED, server, clientKey, Outcome.COMPLETED, Duration.ZERO, releaseToken);
    }

    static CallRecord clientReleasePending(String callId, String clientKey, Outcome outcome) {
        return new CallRecord(callId, Kind.CLIENT_RELEASE_PENDING, 0, clientKey, outcome, Duration.ZERO, NO_TOKEN);
    }

    static CallRecord serverReleasePending(String callId, long server, byte[] releaseToken) {
        return new CallRecord(callId, Kind.SERVER_RELEASE_PENDING, server, "", Outcome.COMPLETED, Duration.ZERO,
                releaseToken);
    }

    static CallRecord completed(String callId) {
        return new CallRecord(callId, Kind.COMPLETED, 0, "", Outcome.COMPLETED, Duration.ZERO, NO_TOKEN);
    }
}
