package pathlane.config.file;

import java.time.Duration;

/**
 * Limits for clients: the total number of their connections, and what one connection may do before it is closed. A client
 * must get an answer or a close within 3 s, so each duration except {@code idleTimeout} is well below that.
 *
 * @param maxConnections maximum number of client connections; beyond it, the connection idle the longest is closed
 * @param messageTimeout how long a message may take from its first byte to its last
 * @param unusedTimeout idle timeout of a connection on which no call was ever established and no call request is open
 * @param idleTimeout idle timeout of a connection that had established calls and has no open or established call now
 * @param messageBurst burst size: messages that one connection may send at once; more close it
 * @param messageInterval interval after which one more message is allowed
 * @param maxUnwrittenBytes maximum number of bytes buffered for a connection whose client does not read; more close it
 * @param maxInvalidRequests number of invalid call requests allowed on one connection; the next one closes it
 * @param unknownReleaseBurst burst size: releases of unknown calls that one connection may have forwarded at once; more wait
 * @param unknownReleaseInterval interval after which one more release of an unknown call is forwarded
 */
public record ClientLimits(int maxConnections, Duration messageTimeout, Duration unusedTimeout, Duration idleTimeout,
        int messageBurst,
        Duration messageInterval, int maxUnwrittenBytes, int maxInvalidRequests, int unknownReleaseBurst,
        Duration unknownReleaseInterval) {

    /** The default limits with this maximum number of connections. */
    static ClientLimits of(int connections) {
        return new ClientLimits(connections, Duration.ofMillis(1500), Duration.ofSeconds(2), Duration.ofSeconds(6), 5000,
                Duration.ofNanos(200_000), 128 * 1024, 8, 100, Duration.ofMillis(20));
    }
}
