package pathlane.handover;

import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * What a successor has to know of one call.
 *
 * @param server where its attempt is in flight, where it is established, or where its release is pending
 * @param clientKey by what name its client is known; empty where any connection reaches it
 * @param outcome the end that its client has yet to be told; COMPLETED in all other kinds
 * @param remaining how long an attempt may be in flight, or nothing may be sent, from when the record was made
 * @param releaseToken what its server needs beside the id to be told its end; empty where it needs nothing, or in other
 *            kinds
 */
public record CallRecord(String callId, Kind kind, long server, String clientKey, Outcome outcome, Duration remaining,
        byte[] releaseToken) {

    /** What is left to do. The place in this list is the number in messages. */
    public enum Kind {
        /** An attempt is in flight: the call may be established by now, and nothing else may be sent for it. */
        IN_FLIGHT,
        /** An attempt was lost or is over, and the call goes on: nothing is sent for it for a while. */
        RETRY_DELAYED,
        /** It is established. */
        ESTABLISHED,
        /** Its client has yet to be told of its end. */
        CLIENT_RELEASE_PENDING,
        /** Its server has yet to be told of its release. */
        SERVER_RELEASE_PENDING,
        /** Nothing is left to do, and whoever looks into older records of it has to know so. */
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
