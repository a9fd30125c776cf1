package pathlane.discovery;

import java.time.Duration;

/**
 * The limits of a publisher.
 *
 * @param subscribers maximum number of connections; more are rejected
 * @param watchesPerSecond watches accepted per second; others are rejected with a retry delay
 * @param watchBurst watches accepted at once
 * @param unacknowledgedBytes encoded changes that may be unacknowledged per subscriber; further changes are coalesced
 *                            until then
 * @param updateBytes maximum bytes of encoded changes in one update, except for an update of a single change
 * @param historyChanges changes kept for deltas, of all services together; subscribers further behind receive snapshots
 * @param bookmarkInterval the minimum interval between bookmarks on a connection
 * @param acknowledgeTimeout the time after which a subscriber with unacknowledged messages that has acknowledged none is
 *                  disconnected
 */
public record PublisherTerms(int subscribers, double watchesPerSecond, int watchBurst, int unacknowledgedBytes,
        int updateBytes, int historyChanges, Duration bookmarkInterval, Duration acknowledgeTimeout) {

    public static final PublisherTerms DEFAULTS = new PublisherTerms(2_000, 200, 100, 256 * 1024, 64 * 1024, 8_192,
            Duration.ofSeconds(1), Duration.ofSeconds(10));
}
