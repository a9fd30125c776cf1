package pathlane.lab.scale;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.net.EventLoop;

/** Makes changes at the source: evenly spaced ones, a zone's loss and return, a rolling release. On the source's loop. */
final class FleetChanges {

    private static final Duration DAY = Duration.ofDays(1);
    /** The part of the changes that is configuration; the others are servers that were started anew. */
    private static final double CONFIGURATION_SHARE = 0.7;
    /** From a server's drain to its removal, and from there to its return. */
    private static final Duration RELEASE_STEP = Duration.ofSeconds(1);

    private final ScalePlan.Fleet fleet;
    private final FleetLayout layout;
    private final SourceHost source;
    private final EventLoop loop;
    private final SplittableRandom random;
    private long made;

    FleetChanges(ScalePlan.Fleet fleet, FleetLayout layout, SourceHost source) {
        this.fleet = fleet;
        this.layout = layout;
        this.source = source;
        this.loop = source.loop();
        this.random = new SplittableRandom(fleet.seed() + 1);
    }

    /** How many revisions were committed so far. */
    long made() {
        return made;
    }

    /** Makes changes for so many seconds, the first at once; done when the time is over. */
    CompletableFuture<Void> spread(double perDay, int seconds) {
        double perSecond = perDay / DAY.toSeconds();
        CompletableFuture<Void> isOver = new CompletableFuture<>();
        loop.after(Duration.ofSeconds(seconds), () -> isOver.complete(null));
        int count = Math.max(1, (int) Math.round(perSecond * seconds));
        return CompletableFuture.allOf(paced(count, perSecond, number -> one()), isOver);
    }

    /** Runs a step so many times at an even pace. */
    private CompletableFuture<Void> paced(int count, double perSecond, IntConsumer step) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Instant start = loop.now();
        for (int number = 0; number < count; number++) {
            int current = number;
            Duration at = Duration.ofNanos((long) (number / perSecond * Duration.ofSeconds(1).toNanos()));
            loop.after(at.minus(Duration.between(start, loop.now())), () -> {
                step.accept(current);
                if (current == count - 1) {
                    done.complete(null);
                }
            });
        }
        return done;
    }

    private void one() {
        if (random.nextDouble() < CONFIGURATION_SHARE) {
            String service = layout.serviceName(random.nextInt(layout.services()));
            commit(service, List.of(), List.of(), Optional.of(source.configuration(made + 1)));
        } else {
            upsert(random.nextInt(fleet.controllers()), ServerStatus.RUNNING);
        }
    }

    private void commit(String service, List<ServerEndpoint> upserted, List<Long> removed, Optional<String> configuration) {
        made++;
        source.commit(service, upserted, removed, configuration);
    }

    private void upsert(int server, ServerStatus mode) {
        commit(layout.serviceName(layout.serviceOf(server)), List.of(layout.line(server, mode, startTime())), List.of(),
                Optional.empty());
    }

    /** Later than every other server's, so that no two lines are equal. */
    private Instant startTime() {
        return loop.now().truncatedTo(ChronoUnit.MILLIS).plusMillis(made);
    }

    // ---- a zone

    private Map<Integer, List<Integer>> zoneServers(int zone) {
        return IntStream.range(0, fleet.controllers()).filter(server -> layout.zoneOf(server) == zone).boxed()
                .collect(Collectors.groupingBy(layout::serviceOf, TreeMap::new, Collectors.toList()));
    }

    /** All servers of a zone go. Returns how many. */
    int loseZone(int zone) {
        Map<Integer, List<Integer>> servers = zoneServers(zone);
        servers.forEach((service, numbers) -> commit(layout.serviceName(service), List.of(),
                numbers.stream().map(FleetLayout::serverId).toList(), Optional.empty()));
        return servers.values().stream().mapToInt(List::size).sum();
    }

    /** All servers of a zone come back, as new processes. */
    void returnZone(int zone) {
        Instant startedAt = startTime();
        zoneServers(zone).forEach((service, numbers) -> commit(layout.serviceName(service),
                numbers.stream().map(server -> layout.line(server, ServerStatus.RUNNING, startedAt)).toList(), List.of(),
                Optional.empty()));
    }

    // ---- a rolling release

    /** So many servers, one after the other, drain, go and come back; done when the last one is back. */
    CompletableFuture<Void> release(int servers, double perSecond) {
        int first = random.nextInt(fleet.controllers());
        List<CompletableFuture<Void>> returns = new ArrayList<>();
        IntStream.range(0, servers).forEach(any -> returns.add(new CompletableFuture<>()));
        paced(servers, perSecond, number -> releaseOne((first + number) % fleet.controllers(), returns.get(number)));
        return CompletableFuture.allOf(returns.toArray(CompletableFuture[]::new));
    }

    private void releaseOne(int server, CompletableFuture<Void> back) {
        upsert(server, ServerStatus.DRAINING);
        loop.after(RELEASE_STEP, () -> {
            commit(layout.serviceName(layout.serviceOf(server)), List.of(), List.of(FleetLayout.serverId(server)),
                    Optional.empty());
            loop.after(RELEASE_STEP, () -> {
                upsert(server, ServerStatus.RUNNING);
                back.complete(null);
            });
        });
    }
}
