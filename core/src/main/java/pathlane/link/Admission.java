package pathlane.link;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pathlane.core.ConnectionEnd;

/**
 * The connections of one kind, callers' or those to session servers, up to a most: the descriptors are shared out, and
 * neither kind can take the other's. When there are no more, the connection that has been idle the longest gives way
 * to the new one.
 */
public final class Admission {

    private final int most;
    private final Map<Protocol, Consumer<ConnectionEnd>> held = new LinkedHashMap<>();

    public Admission(int most) {
        this.most = most;
    }

    /**
     * Whether one more connection may come up; nobody gives way whose calls are open.
     *
     * @param close closes this one, should it have to give way
     */
    public boolean admit(Protocol protocol, Consumer<ConnectionEnd> close) {
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
            held.remove(idlest).accept(ConnectionEnd.GAVE_WAY);
        }
        held.put(protocol, close);
        return true;
    }

    /** Whether the next connection needs one that gives way. */
    public boolean isFull() {
        return held.size() >= most;
    }

    /** A connection has ended. */
    public void ended(Protocol protocol) {
        held.remove(protocol);
    }

    /** Whether less than one of so many parts is held. */
    public boolean isUnder(int part) {
        return held.size() < most / part;
    }

    public int size() {
        return held.size();
    }
}
