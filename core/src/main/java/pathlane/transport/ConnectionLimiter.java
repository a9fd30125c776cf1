package pathlane.transport;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pathlane.core.CloseReason;

/**
 * The connections of one kind, callers' or those to session servers, up to a most: the descriptors are shared out, and
 * neither kind can take the other's. When there are no more, the connection that has been idle the longest gives way
 * to the new one.
 */
public final class ConnectionLimiter {

    private final int most;
    private final Map<Protocol, Consumer<CloseReason>> held = new LinkedHashMap<>();

    public ConnectionLimiter(int most) {
        this.most = most;
    }

    /**
     * Whether one more connection may come up; nobody gives way whose calls are open.
     *
     * @param close closes this one, should it have to give way
     */
    public boolean tryAdmit(Protocol protocol, Consumer<CloseReason> close) {
        if (isFull()) {
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
            held.remove(idlest).accept(CloseReason.EVICTED);
        }
        held.put(protocol, close);
        return true;
    }

    /** Whether the next connection needs one that gives way. */
    public boolean isFull() {
        return held.size() >= most;
    }

    /** A connection has ended. */
    public void closed(Protocol protocol) {
        held.remove(protocol);
    }

    /** Whether less than one of so many parts is held. */
    public boolean isBelowShare(int part) {
        return held.size() < most / part;
    }

    public int size() {
        return held.size();
    }
}
