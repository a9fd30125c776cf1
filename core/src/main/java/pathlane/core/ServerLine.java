package pathlane.core;

import java.net.InetSocketAddress;
import java.time.Instant;
import pathlane.decision.Gateway.Mode;

/**
 * One line of the list of session servers.
 *
 * @param cell the number by which set-ups name it
 * @param startedAt when it started, or the epoch for long ago
 */
public record ServerLine(long id, InetSocketAddress address, Mode mode, int cell, double weight,
        Instant startedAt) {}
