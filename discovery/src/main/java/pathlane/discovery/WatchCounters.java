package pathlane.discovery;

/**
 * The counters of a watch client since its creation.
 *
 * @param connections connections on which the watch was accepted
 * @param bytesReceived message payloads, without framing
 * @param messagesReceived messages of all kinds
 * @param snapshots snapshots received
 * @param deltas deltas received
 * @param bookmarks bookmarks received
 * @param refused watches rejected by a publisher
 * @param gaps changes that did not follow the state held, or whose result did not match the sender's digest
 * @param withheld changes of an incomplete publisher that were not applied
 */
public record WatchCounters(long connections, long bytesReceived, long messagesReceived, long snapshots, long deltas,
        long bookmarks, long refused, long gaps, long withheld) {

    /** The mutable counters. */
    static final class Tally {
        long connections;
        long bytesReceived;
        long messagesReceived;
        long snapshots;
        long deltas;
        long bookmarks;
        long refused;
        long gaps;
        long withheld;

        WatchCounters total() {
            return new WatchCounters(connections, bytesReceived, messagesReceived, snapshots, deltas, bookmarks, refused,
                    gaps, withheld);
        }
    }
}
