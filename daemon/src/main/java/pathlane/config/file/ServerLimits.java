package pathlane.config.file;

import java.time.Duration;

/**
 * What is expected of connections to a session server.
 *
 * @param connections to one server at most
 * @param unfinished how long a message may take from its first byte to its last
 * @param overtaken a set-up on whose connection nothing came since is lost once one that was sent so much later is
 *                  answered on another connection: servers take set-ups in turn
 * @param waitingReleases releases that wait for a connection to one server
 * @param silence a server tells its free lines each second; after so long without a word a connection may be dead
 */
public record ServerLimits(int connections, Duration unfinished, Duration overtaken, int waitingReleases,
                           Duration silence) {

    public static final ServerLimits USUAL = new ServerLimits(4, Duration.ofSeconds(1), Duration.ofMillis(100),
            10_000, Duration.ofSeconds(4));
}
