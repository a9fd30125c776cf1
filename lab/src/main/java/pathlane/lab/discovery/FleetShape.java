package pathlane.lab.discovery;

import java.time.Duration;
import pathlane.discovery.PublisherTerms;

/**
 * The size and the limits of a simulated fleet.
 *
 * @param regions number of regions, each with one region relay; the source is in the first
 * @param zonesPerRegion zones in each region
 * @param relaysPerZone zone relays in each zone
 * @param controllers call controllers, distributed over the zones
 * @param services initial number of services
 * @param servers initial number of servers of each service
 * @param terms limits of every publisher
 */
public record FleetShape(int regions, int zonesPerRegion, int relaysPerZone, int controllers, int services, int servers,
        PublisherTerms terms) {

    /** Limits that small fleets reach, with intervals short enough for a schedule to end soon. */
    public static final PublisherTerms TIGHT_LIMITS = new PublisherTerms(40, 10, 4, 1_200, 400, 24, Duration.ofSeconds(1),
            Duration.ofSeconds(4));

    /** Returns the fleet size of a seeded schedule. */
    static FleetShape small(long seed) {
        int regions = 1 + (int) (seed % 2);
        int relaysOfZone = 1 + (int) (seed / 2 % 2);
        int controllers = 3 + (int) (seed / 4 % 4);
        return new FleetShape(regions, 1, relaysOfZone, controllers, 4, 4, TIGHT_LIMITS);
    }
}
