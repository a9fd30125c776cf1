package pathlane.transport;

import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import pathlane.core.CloseReason;

/**
 * The connections of one kind, clients' or those to session servers, up to a limit: the descriptors are shared out, and
 * neither kind can take the other's. Beyond the limit, the connection that has been idle the longest is evicted for the new
 * one. On the loop's thread.
 */
public final class ConnectionLimiter {

    private final int most;
    private final Map<Protocol, Consumer<CloseReason>> open = new LinkedHashMap<>();

    /** A limiter without connections, that admits so many. */
    public ConnectionLimiter(int most) {
        this.most = most;
    }

    /**
     * Whether one more connection may come up; none is evicted whose calls are open.
     *
     * @param close closes this one, should it have to be evicted
     */
    public boolean tryAdmit(Protocol protocol, Consumer<CloseReason> close) {
        if (isFull()) {
            Optional<Protocol> idlest = idlest();
            if (idlest.isEmpty()) {
                return false;
            }
            open.remove(idlest.get()).accept(CloseReason.EVICTED);
        }
        open.put(protocol, close);
        return true;
    }

    private Optional<Protocol> idlest() {
        record Idle(Protocol protocol, Instant since) {}
        return open.keySet().stream().flatMap(one -> one.idleSince().map(since -> new Idle(one, since)).stream())
                .min(Comparator.comparing(Idle::since)).map(Idle::protocol);
    }

    /** Whether the next connection needs one that is evicted. */
    public boolean isFull() {
        return open.size() >= most;
    }

    /** A connection has ended. */
    public void closed(Protocol protocol) {
        open.remove(protocol);
    }

    /** Whether less than one of so many parts of the limit is in use. */
    public boolean isBelowShare(int parts) {
        return open.size() < most / parts;
    }

    /** How many connections are open. */
    public int size() {
        return open.size();
    }
}
