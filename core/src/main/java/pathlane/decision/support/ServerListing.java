package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.ListedServer;
import pathlane.decision.ServerStatus;

/** One server's entry in the server list. Not thread-safe; times are milliseconds on the policy's clock. */
public final class ServerListing {

    private int pool;
    private double weight = 1;
    private ServerStatus status = ServerStatus.RUNNING;
    private double startedMs;
    private double goneAt = Double.POSITIVE_INFINITY;

    /** Applies a list entry; returns whether the server's process has started since the last entry. */
    public boolean update(ListedServer entry) {
        pool = entry.pool();
        weight = entry.weight() > 0 ? entry.weight() : 1;
        status = entry.status();
        boolean hasRestarted = entry.startedMs() > 0 && entry.startedMs() > startedMs;
        startedMs = Math.max(startedMs, entry.startedMs());
        return hasRestarted;
    }

    /** Marks the server as gone because a complete list does not contain it. */
    public void remove() {
        status = ServerStatus.GONE;
    }

    /** Whether the server has been gone for longer than the given time. Must be called on every change of the list. */
    public boolean isGoneFor(double now, double duration) {
        goneAt = status == ServerStatus.GONE ? Math.min(goneAt, now) : Double.POSITIVE_INFINITY;
        return now - goneAt > duration;
    }

    /** The pool number by which requests name the server. */
    public int pool() {
        return pool;
    }

    /** The server's size relative to other servers, above 0. */
    public double weight() {
        return weight;
    }

    /** Whether the server accepts new requests. */
    public boolean isRunning() {
        return status == ServerStatus.RUNNING;
    }

    /** When the server's process started; 0 if long ago. */
    public double startedMs() {
        return startedMs;
    }
}
