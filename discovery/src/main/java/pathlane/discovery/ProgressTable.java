package pathlane.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** How far the controllers below one publisher are: those connected to it, and those that its relays report. */
final class ProgressTable {

    private static final Comparator<ProgressReport.SlowController> SLOWEST_FIRST =
            Comparator.comparing(ProgressReport.SlowController::inForce).thenComparing(ProgressReport.SlowController::name);

    /** By subscriber: itself as a report of one controller, or a relay's report. */
    private final Map<SubscriberSession, ProgressReport> reports = new LinkedHashMap<>();

    /** The latest connection of each subscriber. */
    private final Map<String, SubscriberSession> latest = new HashMap<>();

    /**
     * A watch is accepted. A former connection of the same subscriber, whose end has not been seen yet, counts no more:
     * nobody is counted twice.
     */
    void register(SubscriberSession subscriber, String name) {
        SubscriberSession former = latest.put(name, subscriber);
        if (former != null) {
            reports.remove(former);
        }
    }

    /** A subscriber that is a controller has everything up to this revision in force. */
    void putController(SubscriberSession subscriber, String name, Revision inForce) {
        put(subscriber, name, new ProgressReport(List.of(new ProgressReport.Level(inForce, 1)),
                List.of(new ProgressReport.SlowController(name, inForce))));
    }

    /** A subscriber that is a relay reports the controllers below it. */
    void putRelay(SubscriberSession subscriber, String name, ProgressReport report) {
        put(subscriber, name, report);
    }

    private void put(SubscriberSession subscriber, String name, ProgressReport report) {
        if (latest.getOrDefault(name, subscriber) == subscriber) {
            reports.put(subscriber, report);
        }
    }

    /** A connection has ended. */
    void remove(SubscriberSession subscriber, String name) {
        reports.remove(subscriber);
        latest.remove(name, subscriber);
    }

    /** All of them together; who has the newest revision in force is not slow. */
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

    /** Counts neighbours that are few together at the lower one. The lowest stays exact: it says what all have in force. */
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
