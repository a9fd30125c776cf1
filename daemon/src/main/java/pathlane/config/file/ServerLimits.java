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
 * @param silence a server tells its free lines all the time; after so long without a word, and two of its periods, a
 *                connection may be dead
 * @param lines how often servers tell their lines at the most. After one and a half of the period that is seen, a server
 *              that has not may have begun to drain. The bus may say so over a second later than it counts as told, and a
 *              second after that nothing new may go there
 * @param linesFirst the most that the first wait between two such times can say of their period, while it is the only one
 * @param linesVary what the lines' way may vary by. While the bus is not heard, a server that has not told its lines for a
 *                  period and this may drain: they may have been the last thing before its drain was told, which leaves
 *                  the second of the rule
 * @param unreached a server that could not be reached for so long has no calls any more: an end is owed within 8 s
 * @param firstLines how long a server's first lines on a new connection are waited for then
 */
public record ServerLimits(int connections, Duration unfinished, Duration overtaken, int waitingReleases,
        int waitingUnknown, Duration silence, Duration lines, Duration linesFirst, Duration linesVary,
        Duration firstLines, Duration unreached) {

    public static final ServerLimits USUAL = new ServerLimits(4, Duration.ofSeconds(1), Duration.ofMillis(100),
            10_000, 64, Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofMillis(2500),
            Duration.ofMillis(20), Duration.ofMillis(150), Duration.ofSeconds(7));
}
