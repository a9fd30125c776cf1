package pathlane.lab.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** Injects randomly chosen faults into a fleet, one after the other. */
final class FaultInjector {

    /** The kinds of faults. */
    enum Kind {
        /** The source is down until all faults are cleared, or is restarted with contents that may have changed. */
        KILL_SOURCE, RESTART_SOURCE,
        KILL_RELAY, RESTART_RELAY, RESTART_EVERY_RELAY,
        /** A relay restarts with an empty catalogue while it can't reach its upstreams. */
        RESTART_RELAY_CUT_OFF,
        RESTART_CONTROLLER,
        /** A process is paused for a while. */
        STOP,
        RESET, RESET_ALL,
        /** Only one side is notified that a connection has closed. */
        HALF_CLOSE,
        /** Traffic between two processes is blocked, in one direction or both. */
        CUT,
        PARTITION_REGION,
        DELAY,
        /** A connection is abandoned while bytes are in flight on it, which arrive late. */
        LATE_BYTES,
        SLOW_SUBSCRIBER,
        /** A controller adds or removes a watched service. */
        CHANGE_WATCH
    }

    private static final int MIN_BYTES_PER_SECOND = 150;
    private static final int MAX_BYTES_PER_SECOND = 2_000;

    private final DiscoveryFleet fleet;
    private final SplittableRandom random;
    private final List<FleetProcess> paused = new ArrayList<>();

    FaultInjector(DiscoveryFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Injects a randomly chosen fault. */
    Kind inject() {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        fleet.trace().record("schedule", kind.name());
        inject(kind);
        return kind;
    }

    /** Clears all faults: restores every link, resumes paused processes and starts those that are down. */
    void clearAll() {
        fleet.trace().record("schedule", "all faults are cleared");
        fleet.faults().restoreAll();
        paused.stream().filter(FleetProcess::isUp).forEach(FleetProcess::resume);
        paused.clear();
        fleet.startAll();
    }

    private void inject(Kind kind) {
        switch (kind) {
            case KILL_SOURCE -> fleet.source().kill();
            case RESTART_SOURCE -> restartSource();
            case KILL_RELAY -> randomRelay().kill();
            case RESTART_RELAY -> restart(randomRelay(), millis(0, 500));
            case RESTART_EVERY_RELAY -> relays().forEach(relay -> restart(relay, millis(0, 500)));
            case RESTART_RELAY_CUT_OFF -> restartDisconnected(randomRelay());
            case RESTART_CONTROLLER -> restart(pickRandom(fleet.controllers()), millis(0, 500));
            case STOP -> pause(pickRandom(fleet.processes()));
            case RESET -> resetOne();
            case RESET_ALL -> subscribers().forEach(one -> publishers(one).forEach(
                    other -> fleet.faults().reset(one.name(), other.name())));
            case HALF_CLOSE -> halfClose();
            case CUT -> blockOneLink();
            case PARTITION_REGION -> partitionRegion();
            case DELAY -> delay();
            case LATE_BYTES -> lateBytes();
            case SLOW_SUBSCRIBER -> slowSubscriber();
            case CHANGE_WATCH -> changeWatch();
        }
    }

    private void restartSource() {
        fleet.source().kill();
        if (random.nextBoolean()) {
            fleet.contents().removeSomeRandomly();
        }
        fleet.virtualTime().after(millis(0, 1_500), fleet.source()::start);
    }

    private void restart(FleetProcess process, Duration after) {
        process.kill();
        fleet.virtualTime().after(after, process::start);
    }

    private void restartDisconnected(RelayProcess relay) {
        publishers(relay).forEach(upstream -> blockTraffic(relay, upstream, true));
        restart(relay, millis(0, 100));
    }

    private void pause(FleetProcess process) {
        if (!process.isRunning()) {
            return;
        }
        process.pause();
        paused.add(process);
        fleet.virtualTime().after(millis(100, 8_000), () -> {
            if (paused.remove(process) && process.isUp()) {
                process.resume();
            }
        });
    }

    private void resetOne() {
        FleetProcess subscriber = pickRandom(subscribers());
        publishers(subscriber).forEach(one -> fleet.faults().reset(subscriber.name(), one.name()));
    }

    private void halfClose() {
        FleetProcess subscriber = pickRandom(subscribers());
        boolean notifiesSubscriber = random.nextBoolean();
        publishers(subscriber).forEach(one -> halfClose(notifiesSubscriber ? subscriber : one,
                notifiesSubscriber ? one : subscriber));
    }

    private void halfClose(FleetProcess notified, FleetProcess other) {
        fleet.faults().halfOpen(notified.name(), other.name());
    }

    private void blockOneLink() {
        FleetProcess subscriber = pickRandom(subscribers());
        boolean bothWays = random.nextBoolean();
        boolean upwards = random.nextBoolean();
        publishers(subscriber)
                .forEach(one -> blockTraffic(upwards ? subscriber : one, upwards ? one : subscriber, bothWays));
    }

    private void blockTraffic(FleetProcess from, FleetProcess to, boolean bothWays) {
        fleet.faults().block(from.name(), to.name());
        if (bothWays) {
            fleet.faults().block(to.name(), from.name());
        }
    }

    private void partitionRegion() {
        String region = pickRandom(fleet.regionRelays()).region();
        for (FleetProcess inside : fleet.processes()) {
            for (FleetProcess outside : fleet.processes()) {
                boolean isInside = inside.region().equals(region) && inside != fleet.source();
                boolean isOutside = !outside.region().equals(region) || outside == fleet.source();
                if (isInside && isOutside) {
                    blockTraffic(inside, outside, true);
                }
            }
        }
    }

    private void delay() {
        FleetProcess subscriber = pickRandom(subscribers());
        for (FleetProcess publisher : publishers(subscriber)) {
            fleet.faults().delay(publisher.name(), subscriber.name(), millis(0, 1_500));
            fleet.faults().delay(subscriber.name(), publisher.name(), millis(0, 1_500));
        }
    }

    private void lateBytes() {
        FleetProcess subscriber = pickRandom(subscribers());
        boolean notifiesSubscriber = random.nextBoolean();
        Duration delay = millis(200, 3_000);
        for (FleetProcess publisher : publishers(subscriber)) {
            fleet.faults().delay(publisher.name(), subscriber.name(), delay);
            fleet.faults().delay(subscriber.name(), publisher.name(), delay);
        }
        fleet.virtualTime().after(millis(100, 1_000), () -> publishers(subscriber).forEach(publisher -> {
            fleet.faults().delay(publisher.name(), subscriber.name(), Duration.ZERO);
            fleet.faults().delay(subscriber.name(), publisher.name(), Duration.ZERO);
            halfClose(notifiesSubscriber ? subscriber : publisher, notifiesSubscriber ? publisher : subscriber);
        }));
    }

    private void slowSubscriber() {
        FleetProcess subscriber = pickRandom(subscribers());
        int bytes = random.nextInt(MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
        publishers(subscriber).forEach(one -> fleet.faults().throttle(one.name(), subscriber.name(), bytes));
    }

    private void changeWatch() {
        ControllerProcess controller = pickRandom(fleet.controllers());
        String service = pickRandom(List.copyOf(fleet.contents().services().keySet()));
        if (controller.watched().contains(service) && controller.watched().size() > 1) {
            controller.unwatch(service);
        } else {
            controller.watch(service);
        }
    }

    private List<? extends FleetProcess> publishers(FleetProcess subscriber) {
        if (subscriber instanceof ControllerProcess) {
            return fleet.zoneRelays();
        }
        return fleet.zoneRelays().contains(subscriber) ? fleet.regionRelays() : List.of(fleet.source());
    }

    private List<FleetProcess> subscribers() {
        return Stream.of(relays(), fleet.controllers()).flatMap(List::stream).map(one -> (FleetProcess) one).toList();
    }

    private List<RelayProcess> relays() {
        return Stream.concat(fleet.regionRelays().stream(), fleet.zoneRelays().stream()).toList();
    }

    private RelayProcess randomRelay() {
        return pickRandom(relays());
    }

    private <T> T pickRandom(List<? extends T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(random.nextInt(from, to));
    }
}
