package pathlane.link;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import pathlane.core.ConnectionEnd;

/**
 * The connections that callers hold, up to a most. Guards the descriptors that session servers and the event bus need
 * against callers that keep what they don't use: when there are no more, the connection that has been idle the longest
 * gives way to the new one.
 */
public final class Admission {

    private final int most;
    private final Map<Protocol, Connection> held = new LinkedHashMap<>();

    public Admission(int most) {
        this.most = most;
    }

    /** Whether one more connection may come up; nobody gives way whose calls are open. */
    public boolean admit(Protocol protocol, Connection connection) {
        if (held.size() >= most) {
            Protocol idlest = null;
            for (Protocol one : held.keySet()) {
                Instant since = one.idleSince();
                if (since != null && (idlest == null || since.isBefore(idlest.idleSince()))) {
                    idlest = one;
                }
            }
            if (idlest == null) {
                return false;
            }
            held.remove(idlest).close(ConnectionEnd.GAVE_WAY);
        }
        held.put(protocol, connection);
        return true;
    }

    /** A connection has ended. */
    public void ended(Protocol protocol) {
        held.remove(protocol);
    }

    public int size() {
        return held.size();
    }
}
