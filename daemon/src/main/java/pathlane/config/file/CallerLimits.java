package pathlane.config.file;

import java.time.Duration;

/**
 * What callers may take up: their connections together, and what one connection may do before it is closed. A caller
 * is owed a word or a close within 3 s, so each span is well inside that, but for {@code idle}.
 *
 * @param connections callers' connections at most; when there are no more, the one idle the longest gives way
 * @param unfinished how long a message may take from its first byte to its last
 * @param unused how long a connection may stay silent on which no call ever stood, with no set-up open
 * @param idle how long one may stay silent on which calls stood, with none open or standing
 * @param messages messages that one connection may bring at once; more close it
 * @param messageEvery one more of these is allowed each time so long has passed
 * @param unwritten bytes that may wait for one connection's other side to read; more close it
 * @param faults set-ups that can't be used, on one connection; the next one closes it
 * @param unknownReleases releases of unknown calls from one connection that are passed on at once; more wait
 * @param unknownReleaseEvery one more of these is passed on each time so long has passed
 */
public record CallerLimits(int connections, Duration unfinished, Duration unused, Duration idle, int messages,
        Duration messageEvery, int unwritten, int faults, int unknownReleases,
        Duration unknownReleaseEvery) {

    /** The limits of callers that may hold so many connections. */
    static CallerLimits of(int connections) {
        return new CallerLimits(connections, Duration.ofMillis(1500), Duration.ofSeconds(2), Duration.ofSeconds(6), 5000,
                Duration.ofNanos(200_000), 128 * 1024, 8, 100, Duration.ofMillis(20));
    }
}
