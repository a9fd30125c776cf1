package pathlane.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The revisions applied by the controllers below one publisher: those connected to it, and those reported by its relays.
 */
final class ProgressTable {

    private static final Comparator<ProgressReport.SlowController> SLOWEST_FIRST =
            Comparator.comparing(ProgressReport.SlowController::inForce).thenComparing(ProgressReport.SlowController::name);

    /** By subscriber: a report of one controller, or a relay's report. */
    private final Map<SubscriberSession, ProgressReport> reports = new LinkedHashMap<>();

    /** The latest connection of each subscriber. */
    private final Map<String, SubscriberSession> latest = new HashMap<>();

    /**
     * Registers an accepted watch. An earlier connection of the same subscriber whose end has not been noticed yet is
     * dropped, so that no controller is counted twice.
     */
    void register(SubscriberSession subscriber, String name) {
        SubscriberSession former = latest.put(name, subscriber);
        if (former != null) {
            reports.remove(former);
        }
    }

    /** Records that a directly connected controller has applied all changes up to this revision. */
    void putController(SubscriberSession subscriber, String name, Revision inForce) {
        put(subscriber, name, new ProgressReport(List.of(new ProgressReport.Level(inForce, 1)),
                List.of(new ProgressReport.SlowController(name, inForce))));
    }

    /** Records the report of a connected relay. */
    void putRelay(SubscriberSession subscriber, String name, ProgressReport report) {
        put(subscriber, name, report);
    }

    private void put(SubscriberSession subscriber, String name, ProgressReport report) {
        if (latest.getOrDefault(name, subscriber) == subscriber) {
            reports.put(subscriber, report);
        }
    }

    /** Removes a closed connection. */
    void remove(SubscriberSession subscriber, String name) {
        reports.remove(subscriber);
        latest.remove(name, subscriber);
    }

    /** Aggregates all reports; controllers at the newest revision are not listed as slow. */
    ProgressReport report(Revision newest) {
        TreeMap<Revision, Long> levels = new TreeMap<>();
        List<ProgressReport.SlowController> behind = new ArrayList<>();
        for (ProgressReport report : reports.values()) {
            report.levels().forEach(level -> levels.merge(level.inForce(), level.controllers(), Long::sum));
            report.slowest().stream().filter(slow -> newest.isAfter(slow.inForce())).forEach(behind::add);
        }
        levels.values().removeIf(controllers -> controllers == 0);
        reduce(levels);
        return new ProgressReport(
                levels.entrySet().stream().map(level -> new ProgressReport.Level(level.getKey(), level.getValue())).toList(),
                behind.stream().sorted(SLOWEST_FIRST).limit(ProgressReport.MAX_SLOWEST).toList());
    }

    /**
     * Merges adjacent levels with the fewest controllers into the lower one. The lowest level stays exact, because it is
     * the revision that all controllers have applied.
     */
    private static void reduce(TreeMap<Revision, Long> levels) {
        while (levels.size() > ProgressReport.MAX_LEVELS) {
            Revision upper = upperOfSmallestNeighbours(levels);
            long controllers = levels.remove(upper);
            levels.merge(levels.lowerKey(upper), controllers, Long::sum);
        }
    }

    private static Revision upperOfSmallestNeighbours(TreeMap<Revision, Long> levels) {
        Revision upper = null;
        long smallestSum = Long.MAX_VALUE;
        Long below = null;
        for (Map.Entry<Revision, Long> level : levels.tailMap(levels.firstKey(), false).entrySet()) {
            if (below != null && below + level.getValue() < smallestSum) {
                smallestSum = below + level.getValue();
                upper = level.getKey();
            }
            below = level.getValue();
        }
        return upper;
    }
}
