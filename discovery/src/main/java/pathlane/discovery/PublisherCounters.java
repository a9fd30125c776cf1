package pathlane.discovery;

/**
 * What a publisher has done since it started.
 *
 * @param subscribers connections now
 * @param watches watches that were accepted
 * @param refused watches that were refused for the rate of admission or the number of subscribers
 * @param bytesSent bytes of all messages, before framing and signature
 * @param messagesSent messages of all kinds
 * @param snapshotsSent whole services sent
 * @param deltasSent differences sent
 * @param absentsSent services sent as absent
 * @param bookmarksSent bookmarks sent
 * @param snapshotsEncoded snapshots encoded, each for all subscribers that need it
 * @param deltasEncoded deltas encoded, each for all subscribers that need it
 * @param coalesced changes that reached a subscriber within a later one, as it had not taken an earlier one yet
 * @param unresponsive subscribers that were disconnected since they acknowledged nothing in time
 */
public record PublisherCounters(int subscribers, long watches, long refused, long bytesSent, long messagesSent,
        long snapshotsSent, long deltasSent, long absentsSent, long bookmarksSent,
        long snapshotsEncoded, long deltasEncoded, long coalesced, long unresponsive) {}
