package pathlane.lab.discovery;

import java.time.Duration;
import pathlane.discovery.PublisherTerms;

/**
 * The size and the terms of a virtual fleet.
 *
 * @param regions each with one region relay; the source stands in the first
 * @param zones zones of each region
 * @param relaysOfZone zone relays in each zone
 * @param controllers call controllers, dealt out over the zones
 * @param services services at the beginning
 * @param servers servers of each service at the beginning
 * @param terms limits of every publisher
 */
public record FleetShape(int regions, int zones, int relaysOfZone, int controllers, int services, int servers,
        PublisherTerms terms) {

    /** Limits that small fleets run into, with times that let a schedule end soon. */
    public static final PublisherTerms TIGHT = new PublisherTerms(40, 10, 4, 1_200, 400, 24, Duration.ofSeconds(1),
            Duration.ofSeconds(4));

    /** The fleet of a seeded schedule. */
    static FleetShape small(long seed) {
        int regions = 1 + (int) (seed % 2);
        int relaysOfZone = 1 + (int) (seed / 2 % 2);
        int controllers = 3 + (int) (seed / 4 % 4);
        return new FleetShape(regions, 1, relaysOfZone, controllers, 4, 4, TIGHT);
    }
}
