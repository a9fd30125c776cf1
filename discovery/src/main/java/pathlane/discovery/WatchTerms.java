package pathlane.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * How a watch client behaves.
 *
 * @param name the subscriber's name
 * @param zone where it runs
 * @param region the region of its zone
 * @param publishers the relays or sources that it may use
 * @param backoffFirst the wait after the first failed or lost connection, drawn from half of it to all of it
 * @param backoffMost what doubling ends at
 * @param silentAfter a publisher from which nothing came for so long is given up; publishers send a bookmark or a status
 *                    each second
 * @param returnWithin a client that found another publisher than its preferred one goes back at a random time within this
 *                     span after the preferred one can be reached again
 */
public record WatchTerms(String name, String zone, String region, List<PublisherAddress> publishers, Duration backoffFirst,
        Duration backoffMost, Duration silentAfter, Duration returnWithin) {

    /** A relay or source that can be dialled. */
    public record PublisherAddress(String name, InetSocketAddress address, String zone, String region) {}
}
