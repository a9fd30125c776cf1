package pathlane.lab.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** Draws what goes wrong in a fleet, one trouble after the other. */
final class Troubles {

    /** What can go wrong. */
    enum Kind {
        /** A source is gone until all is made well, or begins anew with what it then finds. */
        KILL_SOURCE, RESTART_SOURCE,
        KILL_RELAY, RESTART_RELAY, RESTART_EVERY_RELAY,
        /** A relay begins empty while its way upstream is cut. */
        RESTART_RELAY_CUT_OFF,
        RESTART_CONTROLLER,
        /** A process is stopped for a while. */
        STOP,
        RESET, RESET_ALL,
        /** One side hears that a connection has ended, the other does not. */
        HALF_CLOSE,
        /** Nothing goes between two, in one direction or both. */
        CUT,
        PARTITION_REGION,
        DELAY,
        /** A connection is given up while bytes are on their way on it, which come late. */
        LATE_BYTES,
        SLOW_SUBSCRIBER,
        /** A controller watches something else. */
        CHANGE_WATCH
    }

    private static final int SLOWEST_BYTES_A_SECOND = 150;
    private static final int FASTEST_BYTES_A_SECOND = 2_000;

    private final DiscoveryFleet fleet;
    private final SplittableRandom random;
    private final List<FleetProcess> stopped = new ArrayList<>();

    Troubles(DiscoveryFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Draws a trouble and begins it. */
    Kind begin() {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        fleet.trace().note("schedule", kind.name());
        begin(kind);
        return kind;
    }

    /** Everything comes back, and nothing is wrong with any way. */
    void end() {
        fleet.trace().note("schedule", "all is made well");
        fleet.faults().restoreAll();
        stopped.stream().filter(FleetProcess::isUp).forEach(FleetProcess::goOn);
        stopped.clear();
        fleet.startAll();
    }

    private void begin(Kind kind) {
        switch (kind) {
            case KILL_SOURCE -> fleet.source().kill();
            case RESTART_SOURCE -> restartSource();
            case KILL_RELAY -> anyRelay().kill();
            case RESTART_RELAY -> restart(anyRelay(), millis(0, 500));
            case RESTART_EVERY_RELAY -> relays().forEach(relay -> restart(relay, millis(0, 500)));
            case RESTART_RELAY_CUT_OFF -> restartCutOff(anyRelay());
            case RESTART_CONTROLLER -> restart(any(fleet.controllers()), millis(0, 500));
            case STOP -> stop(any(fleet.processes()));
            case RESET -> resetOne();
            case RESET_ALL -> subscribers().forEach(one -> publishers(one).forEach(
                    other -> fleet.faults().reset(one.name(), other.name())));
            case HALF_CLOSE -> halfClose();
            case CUT -> cutOne();
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
            fleet.contents().loseSome();
        }
        fleet.world().after(millis(0, 1_500), fleet.source()::start);
    }

    private void restart(FleetProcess process, Duration after) {
        process.kill();
        fleet.world().after(after, process::start);
    }

    private void restartCutOff(RelayProcess relay) {
        publishers(relay).forEach(upstream -> cut(relay, upstream, true));
        restart(relay, millis(0, 100));
    }

    private void stop(FleetProcess process) {
        if (!process.isRunning()) {
            return;
        }
        process.stop();
        stopped.add(process);
        fleet.world().after(millis(100, 8_000), () -> {
            if (stopped.remove(process) && process.isUp()) {
                process.goOn();
            }
        });
    }

    private void resetOne() {
        FleetProcess subscriber = any(subscribers());
        publishers(subscriber).forEach(one -> fleet.faults().reset(subscriber.name(), one.name()));
    }

    private void halfClose() {
        FleetProcess subscriber = any(subscribers());
        boolean tellsSubscriber = random.nextBoolean();
        publishers(subscriber).forEach(one -> halfClose(tellsSubscriber ? subscriber : one,
                tellsSubscriber ? one : subscriber));
    }

    private void halfClose(FleetProcess told, FleetProcess other) {
        fleet.faults().halfClose(told.name(), other.name());
    }

    private void cutOne() {
        FleetProcess subscriber = any(subscribers());
        boolean bothWays = random.nextBoolean();
        boolean upwards = random.nextBoolean();
        publishers(subscriber).forEach(one -> cut(upwards ? subscriber : one, upwards ? one : subscriber, bothWays));
    }

    private void cut(FleetProcess from, FleetProcess to, boolean bothWays) {
        fleet.faults().cut(from.name(), to.name());
        if (bothWays) {
            fleet.faults().cut(to.name(), from.name());
        }
    }

    private void partitionRegion() {
        String region = any(fleet.regionRelays()).region();
        for (FleetProcess inside : fleet.processes()) {
            for (FleetProcess outside : fleet.processes()) {
                boolean isInside = inside.region().equals(region) && inside != fleet.source();
                boolean isOutside = !outside.region().equals(region) || outside == fleet.source();
                if (isInside && isOutside) {
                    cut(inside, outside, true);
                }
            }
        }
    }

    private void delay() {
        FleetProcess subscriber = any(subscribers());
        for (FleetProcess publisher : publishers(subscriber)) {
            fleet.faults().delay(publisher.name(), subscriber.name(), millis(0, 1_500));
            fleet.faults().delay(subscriber.name(), publisher.name(), millis(0, 1_500));
        }
    }

    private void lateBytes() {
        FleetProcess subscriber = any(subscribers());
        boolean tellsSubscriber = random.nextBoolean();
        Duration late = millis(200, 3_000);
        for (FleetProcess publisher : publishers(subscriber)) {
            fleet.faults().delay(publisher.name(), subscriber.name(), late);
            fleet.faults().delay(subscriber.name(), publisher.name(), late);
        }
        fleet.world().after(millis(100, 1_000), () -> publishers(subscriber).forEach(publisher -> {
            fleet.faults().delay(publisher.name(), subscriber.name(), Duration.ZERO);
            fleet.faults().delay(subscriber.name(), publisher.name(), Duration.ZERO);
            halfClose(tellsSubscriber ? subscriber : publisher, tellsSubscriber ? publisher : subscriber);
        }));
    }

    private void slowSubscriber() {
        FleetProcess subscriber = any(subscribers());
        int bytes = random.nextInt(SLOWEST_BYTES_A_SECOND, FASTEST_BYTES_A_SECOND);
        publishers(subscriber).forEach(one -> fleet.faults().throttle(one.name(), subscriber.name(), bytes));
    }

    private void changeWatch() {
        ControllerProcess controller = any(fleet.controllers());
        String service = any(List.copyOf(fleet.contents().services().keySet()));
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

    private RelayProcess anyRelay() {
        return any(relays());
    }

    private <T> T any(List<? extends T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(random.nextInt(from, to));
    }
}
