package pathlane.platform;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** On which connection to a server each set-up is out: written, and not yet at an end. */
final class OutstandingSetUps {

    private final Map<String, ServerSession> sessions = new HashMap<>();
    /** When the latest of the set-ups that the server has answered was sent. */
    private Instant answeredUpTo = Instant.MIN;

    void sent(String call, ServerSession session) {
        sessions.put(call, session);
    }

    /** Removes a call's set-up and returns the connection that it is out on. */
    Optional<ServerSession> remove(String call) {
        return Optional.ofNullable(sessions.remove(call));
    }

    Optional<ServerSession> sessionOf(String call) {
        return Optional.ofNullable(sessions.get(call));
    }

    /** The server has answered or refused a set-up that was sent at that time. */
    void answered(String call, Instant sentAt) {
        sessions.remove(call);
        answeredUpTo = sentAt.isAfter(answeredUpTo) ? sentAt : answeredUpTo;
    }

    /** When the latest of the set-ups that the server has answered was sent. */
    Instant answeredUpTo() {
        return answeredUpTo;
    }
}
