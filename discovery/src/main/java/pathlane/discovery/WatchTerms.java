package pathlane.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The settings of a watch client.
 *
 * @param name the subscriber's name
 * @param zone the zone it runs in
 * @param region the region of its zone
 * @param publishers the relays or sources that it may connect to
 * @param initialBackoff the backoff after the first failed or lost connection; the delay is drawn from half of it to all of
 *                     it
 * @param maxBackoff the upper limit of the doubled backoff
 * @param silenceTimeout the time without any message after which a publisher is considered lost; publishers send a bookmark
 *                    or a status each second
 * @param returnWithin a client connected to another publisher than its preferred one returns at a random time within this
 *                     interval after the preferred one is reachable again
 */
public record WatchTerms(String name, String zone, String region, List<PublisherAddress> publishers, Duration initialBackoff,
        Duration maxBackoff, Duration silenceTimeout, Duration returnWithin) {

    /** A relay or source that a client can connect to. */
    public record PublisherAddress(String name, InetSocketAddress address, String zone, String region) {}
}
