package pathlane.core;

import java.net.InetSocketAddress;
import java.time.Instant;
import pathlane.decision.ServerStatus;

/**
 * One entry of the list of session servers.
 *
 * @param pool the number by which requests name it
 * @param weight its size beside others'; nought where that is not known
 * @param startedAt when its process started, or the epoch for long ago
 */
public record ServerEndpoint(long id, InetSocketAddress address, ServerStatus status, int pool, double weight,
        Instant startedAt) {

    /** The same endpoint in another status. */
    public ServerEndpoint withStatus(ServerStatus changed) {
        return new ServerEndpoint(id, address, changed, pool, weight, startedAt);
    }
}
