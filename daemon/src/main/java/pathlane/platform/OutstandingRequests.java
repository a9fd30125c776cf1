package pathlane.platform;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tracks on which connection to a server each outstanding request was sent: written, and not answered or ended yet. */
final class OutstandingRequests {

    private final Map<String, ServerSession> sessions = new HashMap<>();
    /** When the most recently sent of the requests that the server has answered was sent. */
    private Instant latestAnsweredSentAt = Instant.MIN;

    void sent(String callId, ServerSession session) {
        sessions.put(callId, session);
    }

    /** Removes a call's request and returns the connection on which it was sent. */
    Optional<ServerSession> remove(String callId) {
        return Optional.ofNullable(sessions.remove(callId));
    }

    Optional<ServerSession> sessionOf(String callId) {
        return Optional.ofNullable(sessions.get(callId));
    }

    /** The server has answered or rejected a request that was sent at that time. */
    void answered(String callId, Instant sentAt) {
        sessions.remove(callId);
        latestAnsweredSentAt = sentAt.isAfter(latestAnsweredSentAt) ? sentAt : latestAnsweredSentAt;
    }

    /** When the most recently sent of the requests that the server has answered was sent. */
    Instant latestAnsweredSentAt() {
        return latestAnsweredSentAt;
    }
}
