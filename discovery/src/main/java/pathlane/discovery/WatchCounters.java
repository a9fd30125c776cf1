package pathlane.discovery;

/**
 * What a watch client has counted since it was made.
 *
 * @param connections publishers that accepted the watch
 * @param bytesReceived payloads of messages, without framing
 * @param messagesReceived messages of all kinds
 * @param snapshots services that were received whole
 * @param deltas services of which a change was received
 * @param bookmarks revisions of the catalogue that were received without content
 * @param refused watches that a publisher did not take
 * @param gaps changes that did not follow, or led to another content than their sender's
 * @param withheld changes of an incomplete publisher that were not believed
 */
public record WatchCounters(long connections, long bytesReceived, long messagesReceived, long snapshots, long deltas,
        long bookmarks, long refused, long gaps, long withheld) {

    /** The counters while they are counted. */
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
