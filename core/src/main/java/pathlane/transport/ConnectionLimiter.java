package pathlane.transport;

import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import pathlane.core.CloseReason;

/**
 * Limits the connections of one kind, from clients or to session servers, so that neither kind can use up the other's file
 * descriptors. At the limit, the connection that has been idle the longest is evicted for a new one. Runs on the event
 * loop's thread.
 */
public final class ConnectionLimiter {

    private final int maxConnections;
    private final Map<Protocol, Consumer<CloseReason>> open = new LinkedHashMap<>();

    /** Creates a limiter that admits at most this number of connections. */
    public ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Admits one more connection if there is room or an idle one can be evicted; returns whether it is admitted. A
     * connection with open calls is never evicted.
     *
     * @param close closes this connection if it is evicted later
     */
    public boolean tryAdmit(Protocol protocol, Consumer<CloseReason> close) {
        if (isFull()) {
            Optional<Protocol> longestIdle = findLongestIdle();
            if (longestIdle.isEmpty()) {
                return false;
            }
            open.remove(longestIdle.get()).accept(CloseReason.EVICTED);
        }
        open.put(protocol, close);
        return true;
    }

    private Optional<Protocol> findLongestIdle() {
        record Idle(Protocol protocol, Instant since) {}
        return open.keySet().stream()
                .flatMap(protocol -> protocol.idleSince().map(since -> new Idle(protocol, since)).stream())
                .min(Comparator.comparing(Idle::since)).map(Idle::protocol);
    }

    /** Returns whether the limit is reached, so that a new connection requires an eviction. */
    public boolean isFull() {
        return open.size() >= maxConnections;
    }

    /** Removes a connection that has ended. */
    public void closed(Protocol protocol) {
        open.remove(protocol);
    }

    /** Returns whether less than {@code 1 / parts} of the limit is in use. */
    public boolean isBelowFraction(int parts) {
        return open.size() < maxConnections / parts;
    }

    /** Returns the number of open connections. */
    public int size() {
        return open.size();
    }
}
