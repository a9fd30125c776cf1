package pathlane.discovery;

/**
 * The counters of a publisher since its start.
 *
 * @param subscribers current connections
 * @param watches accepted watches
 * @param refused watches rejected because of the admission rate or the number of subscribers
 * @param bytesSent bytes of all messages, before framing and signature
 * @param messagesSent messages of all kinds
 * @param snapshotsSent snapshots sent
 * @param deltasSent deltas sent
 * @param absentsSent services reported as absent
 * @param bookmarksSent bookmarks sent
 * @param snapshotsEncoded snapshots encoded, each once for all subscribers that need it
 * @param deltasEncoded deltas encoded, each once for all subscribers that need it
 * @param coalesced changes merged into a later one because the subscriber had not been sent the earlier one yet
 * @param unresponsive subscribers disconnected because they did not acknowledge in time
 */
public record PublisherCounters(int subscribers, long watches, long refused, long bytesSent, long messagesSent,
        long snapshotsSent, long deltasSent, long absentsSent, long bookmarksSent,
        long snapshotsEncoded, long deltasEncoded, long coalesced, long unresponsive) {}
