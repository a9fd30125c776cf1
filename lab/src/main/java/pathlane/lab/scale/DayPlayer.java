package pathlane.lab.scale;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import pathlane.lab.scale.ControlMessage.Figures;
import pathlane.lab.scale.ControlMessage.Verdict;
import pathlane.lab.scale.ControlMessage.WatchFigures;

/** Plays the days of a run, one after the other; each ends once everything is in force everywhere, and is compared then. */
final class DayPlayer {

    /** The source hears of the last controller by one report a second on each tier. */
    private static final Duration ROOT_HEARS_WITHIN = Duration.ofSeconds(10);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final Logger LOG = System.getLogger("scale");
    private static final int CUT_REGION = 0;
    private static final double MILLI = 1000;

    private final ScalePlan plan;
    private final FleetLayout layout;
    private final Topology topology;
    private final SourceHost source;
    private final FleetChanges changes;
    private final ProcessFleet fleet;
    private final RunFolder folder;
    private final Deadline deadline;

    DayPlayer(ScalePlan plan, FleetLayout layout, Topology topology, SourceHost source, ProcessFleet fleet,
              RunFolder folder, Deadline deadline) {
        this.plan = plan;
        this.layout = layout;
        this.topology = topology;
        this.source = source;
        this.changes = new FleetChanges(plan.fleet(), layout, source);
        this.fleet = fleet;
        this.folder = folder;
        this.deadline = deadline;
    }

    /** What happens on a day; returns what is to be said of it, once the last change is committed. */
    private interface Course {
        String play() throws InterruptedException;
    }

    /** Starts all controllers; returns how long it took until each had everything in force. */
    Duration startControllers() throws InterruptedException {
        long began = System.nanoTime();
        fleet.command(new ControlMessage.StartControllers());
        fleet.awaitInForce(source.revision());
        LOG.log(Level.INFO, "all controllers have started");
        return Duration.ofNanos(System.nanoTime() - began);
    }

    /** Plays all days of the plan. The busy one comes first, so that the ordinary one finds compiled code. */
    List<DayResult> play() throws InterruptedException {
        ScalePlan.Days days = plan.days();
        List<DayResult> results = new ArrayList<>();
        if (days.hundredfold().isPresent()) {
            results.add(measure(Day.HUNDREDFOLD, () -> spread(days.hundredfold().get())));
        }
        if (days.ordinary().isPresent()) {
            results.add(measure(Day.ORDINARY, () -> spread(days.ordinary().get())));
        }
        if (days.zoneLost().isPresent()) {
            int zone = days.zoneLost().get().zone();
            results.add(measure(Day.ZONE_LOST, () -> loseZone(zone)));
            results.add(measure(Day.ZONE_BACK, () -> returnZone(zone)));
        }
        if (days.rollingRelease().isPresent()) {
            results.add(measure(Day.ROLLING_RELEASE, () -> release(days.rollingRelease().get())));
        }
        if (days.relayKilled().isPresent()) {
            results.add(measure(Day.RELAY_KILLED, () -> killRelay(days.relayKilled().get())));
        }
        if (days.regionCut().isPresent()) {
            results.add(measure(Day.REGION_CUT, () -> cutRegion(days.regionCut().get())));
        }
        if (days.allReconnect().isPresent()) {
            results.add(measure(Day.ALL_RECONNECT, () -> reconnectAll(days.allReconnect().get())));
        }
        return results;
    }

    // ---- courses

    private CompletableFuture<Void> begin(double perDay, int seconds) throws InterruptedException {
        return OnLoop.call(source.loop(), () -> changes.spread(perDay, seconds));
    }

    private String spread(ScalePlan.Changes day) throws InterruptedException {
        deadline.await(begin(day.perDay(), day.seconds()), "changes");
        return "";
    }

    private String loseZone(int zone) throws InterruptedException {
        return OnLoop.call(source.loop(), () -> changes.loseZone(zone)) + " servers";
    }

    private String returnZone(int zone) throws InterruptedException {
        OnLoop.run(source.loop(), () -> changes.returnZone(zone));
        return "";
    }

    private String release(ScalePlan.RollingRelease day) throws InterruptedException {
        deadline.await(OnLoop.call(source.loop(), () -> changes.release(day.servers(), day.perSecond())), "the release");
        return day.servers() + " servers at " + day.perSecond() + " a second";
    }

    private String killRelay(ScalePlan.Outage day) throws InterruptedException {
        ChildProcess relay = fleet.relays().get("zone-relay-0");
        CompletableFuture<Void> changesMade = begin(day.perDay(), day.seconds());
        long killed = System.nanoTime();
        relay.kill();
        fleet.awaitConnections(1);
        double movedSeconds = secondsSince(killed);
        deadline.await(changesMade, "changes");
        relay.start();
        return String.format("all connected again %.1f s after the kill", movedSeconds);
    }

    private String cutRegion(ScalePlan.Outage day) throws InterruptedException {
        OnLoop.run(source.loop(), () -> source.gate(CUT_REGION).cut());
        deadline.await(begin(day.perDay(), day.seconds()), "changes");
        Instant restored = OnLoop.call(source.loop(), () -> {
            source.gate(CUT_REGION).restore();
            return source.loop().now();
        });
        fleet.awaitInForce(source.revision());
        List<Figures> figures = fleet.ask(new ControlMessage.GetFigures(), Figures.class);
        Histogram region = merged(figures, OptionalInt.empty(), OptionalInt.of(CUT_REGION));
        long last = figures.stream().mapToLong(one -> one.regions().get(CUT_REGION).lastInForceMicros()).max().orElse(0);
        double after = (last - ChronoUnit.MICROS.between(Instant.EPOCH, restored)) / (MILLI * MILLI);
        return String.format("the region's own: p50 %.0f ms, p99 %.0f ms, last %.0f ms; its last change %.1f s after the way"
                + " back", region.getValueAtPercentile(50) / MILLI, region.getValueAtPercentile(99) / MILLI,
                region.getMaxValue() / MILLI, after);
    }

    private String reconnectAll(ScalePlan.Changes day) throws InterruptedException {
        CompletableFuture<Void> changesMade = begin(day.perDay(), day.seconds());
        long broken = System.nanoTime();
        fleet.command(new ControlMessage.BreakConnections());
        fleet.awaitConnections(plan.fleet().controllers());
        double seconds = secondsSince(broken);
        deadline.await(changesMade, "changes");
        return String.format("all connected again after %.1f s", seconds);
    }

    private static double secondsSince(long nanos) {
        return (System.nanoTime() - nanos) / (double) Duration.ofSeconds(1).toNanos();
    }

    // ---- measuring

    private DayResult measure(Day day, Course course) throws InterruptedException {
        fleet.awaitInForce(source.revision());   // whoever lost its connection since the last day is back
        fleet.command(new ControlMessage.BeginDay());
        OnLoop.run(source.loop(), () -> source.rootView().beginDay());
        long madeBefore = changes.made();
        long sentBefore = sentBySource();
        List<ChildProcess> processes = Stream.of(fleet.hollow(), fleet.single(), fleet.relays().values(),
                List.of(fleet.empty())).flatMap(Collection::stream).toList();
        CostMeter meter = new CostMeter(processes);
        String note = course.play();
        long revision = source.revision();
        fleet.awaitInForce(revision);
        meter.end();
        List<Figures> hollow = ProcessFleet.ask(fleet.hollow(), new ControlMessage.GetFigures(), Figures.class);
        List<Figures> single = ProcessFleet.ask(fleet.single(), new ControlMessage.GetFigures(), Figures.class);
        List<Figures> all = Stream.of(hollow, single).flatMap(List::stream).toList();
        LOG.log(Level.INFO, "{0}: all in force after {1} s", day.title(), String.format("%.1f", meter.seconds()));
        boolean withMemory = day == Day.ORDINARY;
        if (withMemory) {
            fleet.collectGarbage();
        }
        return new DayResult(day, meter.seconds(), changes.made() - madeBefore,
                merged(all, day == Day.REGION_CUT ? OptionalInt.of(CUT_REGION) : OptionalInt.empty(), OptionalInt.empty()),
                rootFigures(revision), meter.controllerCost(fleet.hollow(), fleet.empty(), hollow, withMemory),
                meter.controllerCost(fleet.single(), fleet.empty(), single, withMemory),
                holderCosts(meter, Stream.of(fleet.hollow(), fleet.single()).flatMap(List::stream).toList(), all),
                relayCosts(meter), meter.ownCost(sentBySource() - sentBefore), all.stream().map(Figures::watches).reduce(WatchFigures.NONE, WatchFigures::plus), verify(),
                note);
    }

    private long sentBySource() throws InterruptedException {
        return OnLoop.call(source.loop(), source::bytesSent);
    }

    private static List<DayResult.HolderCost> holderCosts(CostMeter meter, List<ChildProcess> processes,
                                                          List<Figures> figures) {
        return IntStream.range(0, processes.size())
                .mapToObj(place -> meter.holderCost(processes.get(place), figures.get(place))).toList();
    }

    private static Histogram merged(List<Figures> figures, OptionalInt without, OptionalInt alone) {
        Histogram merged = InForceRecorder.empty();
        for (Figures one : figures) {
            for (int region = 0; region < one.regions().size(); region++) {
                if ((without.isEmpty() || without.getAsInt() != region) && (alone.isEmpty() || alone.getAsInt() == region)) {
                    merged.add(InForceRecorder.histogram(one.regions().get(region).histogram()));
                }
            }
        }
        return merged;
    }

    private DayResult.RootFigures rootFigures(long revision) throws InterruptedException {
        long until = System.nanoTime() + ROOT_HEARS_WITHIN.toNanos();
        while (System.nanoTime() < until && !OnLoop.call(source.loop(), () -> source.rootView().isInForce(revision))) {
            Thread.sleep(POLL.toMillis());
        }
        return OnLoop.call(source.loop(), () -> source.rootView().figures());
    }

    private Map<String, DayResult.RelayCost> relayCosts(CostMeter meter) {
        Map<String, DayResult.RelayCost> costs = new HashMap<>();
        topology.zoneRelays().forEach(relay -> costs.put(relay.name(), new DayResult.RelayCost(
                layout.controllersIn(relay.zone()) / (double) topology.zoneRelaysIn(relay.zone()),
                meter.cost(fleet.relays().get(relay.name())))));
        topology.regionRelays().forEach(relay -> costs.put(relay.name(), new DayResult.RelayCost(
                topology.zoneRelaysBelow(relay.region()) / (double) topology.regionRelaysIn(relay.region()),
                meter.cost(fleet.relays().get(relay.name())))));
        return costs;
    }

    private Verdict verify() throws InterruptedException {
        Path file = folder.digestFile();
        source.writeDigests(file);
        List<Verdict> verdicts = fleet.ask(new ControlMessage.Verify(file.toString()), Verdict.class);
        return verdicts.stream().reduce(new Verdict(0, 0, List.of()), (one, other) -> new Verdict(
                one.equal() + other.equal(), one.different() + other.different(),
                Stream.of(one.examples(), other.examples()).flatMap(List::stream).limit(5).toList()));
    }
}
