package pathlane.core;

import java.net.InetSocketAddress;
import java.time.Instant;
import pathlane.decision.ServerStatus;

/**
 * An entry of the server list: a session server's address and state.
 *
 * @param pool the number of its pool, by which requests refer to it
 * @param weight its capacity relative to other servers; zero if unknown
 * @param startedAt when its process started, or the epoch if that was long ago
 */
public record ServerEndpoint(long id, InetSocketAddress address, ServerStatus status, int pool, double weight,
        Instant startedAt) {

    /** Returns the same endpoint with another status. */
    public ServerEndpoint withStatus(ServerStatus changed) {
        return new ServerEndpoint(id, address, changed, pool, weight, startedAt);
    }
}
