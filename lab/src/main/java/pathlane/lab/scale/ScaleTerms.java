package pathlane.lab.scale;

import java.time.Duration;
import java.util.List;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.WatchTerms;

/** The terms of discovery that a scale run uses: the usual ones, with the plan's limit of subscribers. */
final class ScaleTerms {

    /** Bytes that may wait to be written to one subscriber: what may be unacknowledged, and as much again. */
    static final long MOST_UNWRITTEN = 2L * PublisherTerms.DEFAULTS.unacknowledgedBytes() + 1024 * 1024;

    private static final Duration BACKOFF_FIRST = Duration.ofMillis(200);
    private static final Duration BACKOFF_MOST = Duration.ofSeconds(5);
    private static final Duration SILENT_AFTER = Duration.ofSeconds(3);
    private static final Duration RETURN_WITHIN = Duration.ofSeconds(30);

    private ScaleTerms() {}

    static WatchTerms watch(String name, String zone, String region, List<WatchTerms.PublisherAddress> publishers) {
        return new WatchTerms(name, zone, region, publishers, BACKOFF_FIRST, BACKOFF_MOST, SILENT_AFTER, RETURN_WITHIN);
    }

    static PublisherTerms publisher(ScalePlan.Relays relays) {
        PublisherTerms usual = PublisherTerms.DEFAULTS;
        return new PublisherTerms(relays.subscribers(), usual.watchesPerSecond(), usual.watchBurst(),
                usual.unacknowledgedBytes(), usual.updateBytes(), usual.historyChanges(),
                Duration.ofMillis(relays.bookmarkMillis()),
                usual.acknowledgeTimeout());
    }
}
