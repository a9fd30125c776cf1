package pathlane.decision.support;

import pathlane.decision.RoutingPolicy.ListedServer;
import pathlane.decision.ServerStatus;

/** One server as the list has it. Not thread-safe; times are milliseconds on the caller's clock. */
public final class ServerListing {

    private int pool;
    private double weight = 1;
    private ServerStatus status = ServerStatus.RUNNING;
    private double startedMs;
    private double goneAt = Double.POSITIVE_INFINITY;

    /** The list has this entry for the server; says whether its process has started since the last entry. */
    public boolean update(ListedServer entry) {
        pool = entry.pool();
        weight = entry.weight() > 0 ? entry.weight() : 1;
        status = entry.status();
        boolean hasRestarted = entry.startedMs() > 0 && entry.startedMs() > startedMs;
        startedMs = Math.max(startedMs, entry.startedMs());
        return hasRestarted;
    }

    /** A whole list came without the server. */
    public void remove() {
        status = ServerStatus.GONE;
    }

    /** Whether the server has been gone for over so many milliseconds; asked on every change of the list. */
    public boolean isGoneFor(double now, double span) {
        goneAt = status == ServerStatus.GONE ? Math.min(goneAt, now) : Double.POSITIVE_INFINITY;
        return now - goneAt > span;
    }

    /** The number by which requests name the server. */
    public int pool() {
        return pool;
    }

    /** The server's size beside others', above nought. */
    public double weight() {
        return weight;
    }

    /** Whether the server takes new requests. */
    public boolean isRunning() {
        return status == ServerStatus.RUNNING;
    }

    /** When the server's process started; nought for long ago. */
    public double startedMs() {
        return startedMs;
    }
}
