package pathlane.discovery;

/** The mutable counters behind {@link PublisherCounters}. */
final class PublisherMetrics {
    long watches;
    long refused;
    long bytesSent;
    long messagesSent;
    long snapshotsSent;
    long deltasSent;
    long absentsSent;
    long bookmarksSent;
    long snapshotsEncoded;
    long deltasEncoded;
    long coalesced;
    long unresponsive;

    void countSent(EncodedChange change) {
        switch (change.kind()) {
            case SNAPSHOT -> snapshotsSent++;
            case DELTA -> deltasSent++;
            case ABSENT -> absentsSent++;
        }
    }

    PublisherCounters counters(int subscribers) {
        return new PublisherCounters(subscribers, watches, refused, bytesSent, messagesSent, snapshotsSent, deltasSent,
                absentsSent, bookmarksSent, snapshotsEncoded, deltasEncoded, coalesced, unresponsive);
    }
}
