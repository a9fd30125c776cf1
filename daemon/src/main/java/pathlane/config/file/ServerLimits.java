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
 * @param waitingUnknown releases of calls that are not known, waiting for a connection to one server
 * @param silence a server tells its free lines each second; after so long without a word a connection may be dead
 * @param untold after so long without its lines, which it tells each second, a server may have begun to drain. The bus
 *               may say so over a second later than it counts as told, and a second after that nothing new may go there
 * @param untoldUnsure the same while the bus is not heard: its lines may have been the last thing before its drain was
 *               told, which leaves the second of the rule and what the lines' way may vary by
 * @param unreached a server that could not be reached for so long has no calls any more: an end is owed within 8 s
 * @param firstLines how long a server's first lines on a new connection are waited for then
 */
public record ServerLimits(int connections, Duration unfinished, Duration overtaken, int waitingReleases,
                           int waitingUnknown, Duration silence, Duration untold, Duration untoldUnsure,
                           Duration firstLines, Duration unreached) {

    public static final ServerLimits USUAL = new ServerLimits(4, Duration.ofSeconds(1), Duration.ofMillis(100),
            10_000, 64, Duration.ofSeconds(4), Duration.ofMillis(1500), Duration.ofMillis(1020),
            Duration.ofMillis(150), Duration.ofSeconds(7));
}
