package pathlane.lab.scale;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import pathlane.lab.scale.ControlMessage.WatchFigures;

/**
 * The figures of one day.
 *
 * @param seconds how long the day took
 * @param revisions how many changes were committed
 * @param inForce times from commit to in force of each change at each controller that it concerns, in microseconds, without
 *                those of a region that was cut
 * @param root times until the last controller had a revision in force, as the source knows them
 * @param hollow what a hollow controller costs
 * @param single what a controller in a process of its own costs, above an empty process
 * @param processes each process with controllers
 * @param relays what each relay costs, by name
 * @param source what the run's own process costs, with the source
 * @param watches what all watch clients counted
 * @param verdict whether all is as at the source at the end
 * @param note what else is to be said of the day; may be empty
 */
record DayResult(Day day, double seconds, long revisions, Histogram inForce, RootFigures root, ControllerCost hollow,
                 ControllerCost single, List<HolderCost> processes, Map<String, RelayCost> relays, ProcessCost source,
                 WatchFigures watches, ControlMessage.Verdict verdict, String note) {

    /**
     * How the source saw the day.
     *
     * @param revisions revisions of the day that were in force everywhere by its end
     * @param p50Millis half of these were in force everywhere within this
     * @param p99Millis 99 in 100 were
     * @param maxMillis all were
     */
    record RootFigures(long revisions, double p50Millis, double p99Millis, double maxMillis) { }

    /**
     * One controller's cost, the mean of its kind.
     *
     * @param controllers how many there were
     * @param meanEndpoints servers in the list of one
     * @param bytesPerSecond received and written
     * @param cpuPercent of a core
     * @param memoryMegabytes resident, without what an empty process takes; NaN where it was not measured
     */
    record ControllerCost(long controllers, double meanEndpoints, double bytesPerSecond, double cpuPercent,
                          double memoryMegabytes) { }

    /** One process's cost. */
    record ProcessCost(double bytesPerSecond, double cpuPercent, double memoryMegabytes) { }

    /** The cost of a process that holds controllers, as a whole. */
    record HolderCost(int controllers, ProcessCost cost) { }

    /**
     * One relay's cost.
     *
     * @param subscribers controllers of its zone, or zone relays of its region, for each relay there
     */
    record RelayCost(double subscribers, ProcessCost cost) { }

    /** Relays that controllers connect to. */
    List<RelayCost> zoneRelays() {
        return relays.entrySet().stream().filter(relay -> relay.getKey().startsWith("zone-")).map(Map.Entry::getValue).toList();
    }

    /** Relays that only relays connect to. */
    List<RelayCost> regionRelays() {
        return relays.entrySet().stream().filter(relay -> relay.getKey().startsWith("region-")).map(Map.Entry::getValue)
                .toList();
    }
}
