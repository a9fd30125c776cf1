package pathlane.discovery;

import java.time.Duration;

/**
 * The limits of a publisher.
 *
 * @param subscribers connections at once; more are refused
 * @param watchesPerSecond watches accepted a second; others are refused with a time to come back
 * @param watchBurst watches accepted at once
 * @param unacknowledgedBytes encoded changes that may be under way to one subscriber; what comes meanwhile is coalesced
 * @param updateBytes encoded changes in one update at most, one change excepted
 * @param historyChanges changes that are kept for deltas, of all services together; who is further behind gets a snapshot
 * @param bookmarkEvery the shortest time between bookmarks on a connection
 * @param deadAfter a subscriber that has acknowledged nothing for so long, while something is under way, is disconnected
 */
public record PublisherTerms(int subscribers, double watchesPerSecond, int watchBurst, int unacknowledgedBytes,
        int updateBytes, int historyChanges, Duration bookmarkEvery, Duration deadAfter) {

    public static final PublisherTerms USUAL = new PublisherTerms(2_000, 200, 100, 256 * 1024, 64 * 1024, 8_192,
            Duration.ofSeconds(1), Duration.ofSeconds(10));
}
