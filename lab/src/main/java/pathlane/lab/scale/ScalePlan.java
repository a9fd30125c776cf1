package pathlane.lab.scale;

import java.util.Optional;

/**
 * What a scale run plays, as its file says.
 *
 * @param title what the run shows, in one sentence
 * @param fleet the services and the call controllers
 * @param relays the tiers of relays
 * @param processes how the controllers are spread over processes, and the limits of these
 * @param days what happens, in this order; a day that the file does not name is not played
 */
public record ScalePlan(String title, Fleet fleet, Relays relays, Processes processes, Days days) {

    /**
     * The fleet. Each controller stands beside one session server, and each session server belongs to one service.
     *
     * @param controllers how many controllers, and so session servers
     * @param services how many services they are in
     * @param largestService bound on the draw of a service's size before the sizes are scaled to the fleet
     * @param sizeShape shape of the Pareto distribution of services' sizes; the smaller, the heavier its tail
     * @param calls services that a controller calls, and so watches
     * @param callPopularity a service is called in proportion to its size to this power: 0 evenly, 1 by its servers
     * @param configurationBytes length of a service's configuration
     * @param regions how many regions
     * @param zones how many zones, spread evenly over the regions
     * @param seed of all draws
     */
    public record Fleet(int controllers, int services, int largestService, double sizeShape, int calls,
                        double callPopularity, int configurationBytes, int regions, int zones, long seed) { }

    /**
     * The relays.
     *
     * @param inRegions relays below the source, spread evenly over the regions
     * @param inZones relays below those, which controllers connect to, spread evenly over the zones
     * @param subscribers connections that one relay takes
     * @param bookmarkMillis time between bookmarks on a connection
     * @param heapMegabytes heap of a relay's process
     */
    public record Relays(int inRegions, int inZones, int subscribers, int bookmarkMillis, int heapMegabytes) { }

    /**
     * The processes that hold controllers.
     *
     * @param hollow processes that share all controllers but the single ones; each second one holds twice as many
     * @param single processes that hold one controller each
     * @param hollowHeapMegabytes heap of a hollow process
     * @param secondsAtMost the whole run ends with an error after this
     */
    public record Processes(int hollow, int single, int hollowHeapMegabytes, int secondsAtMost) { }

    /** The days, each absent where it is not played. */
    public record Days(Optional<Changes> ordinary, Optional<Changes> hundredfold, Optional<ZoneLost> zoneLost,
                       Optional<RollingRelease> rollingRelease, Optional<Outage> relayKilled,
                       Optional<Outage> regionCut, Optional<Changes> allReconnect, Optional<Baseline> baseline) { }

    /**
     * Changes of configuration and of single servers, evenly spaced.
     *
     * @param perDay how many in 24 hours
     * @param seconds for how long they are made
     */
    public record Changes(double perDay, int seconds) { }

    /**
     * All servers of one zone go at once, and come back at once when this is in force everywhere.
     *
     * @param zone which zone, from 0
     */
    public record ZoneLost(int zone) { }

    /**
     * Servers drain, go and come back as new processes, service after service.
     *
     * @param servers how many
     * @param perSecond how many begin to drain in a second
     */
    public record RollingRelease(int servers, double perSecond) { }

    /**
     * A relay, or a region's way to the source, is away for a while; changes are made meanwhile.
     *
     * @param perDay changes in 24 hours
     * @param seconds how long it is away
     */
    public record Outage(double perDay, int seconds) { }

    /**
     * The whole list over the event bus's protocol.
     *
     * @param controllers how many controllers follow it
     * @param perDay changes in 24 hours
     * @param seconds for how long
     */
    public record Baseline(int controllers, double perDay, int seconds) { }
}
