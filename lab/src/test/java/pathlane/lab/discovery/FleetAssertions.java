package pathlane.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.ServiceState;

/** Fleets that are in step, and what the directed tests of discovery ask of them. */
final class FleetAssertions {

    static final Duration SOON = Duration.ofSeconds(10);
    static final PublisherTerms TERMS = FleetShape.TIGHT;
    static final String SERVICE = "service-1";

    private FleetAssertions() {}

    static DiscoveryFleet fleet(int regions, int relaysOfZone, int controllers, PublisherTerms terms) {
        DiscoveryFleet fleet = new DiscoveryFleet(new FleetShape(regions, 1, relaysOfZone, controllers, 3, 4, terms), 7);
        fleet.controllers().forEach(one -> one.watch(SERVICE));
        fleet.startAll();
        comesInStep(fleet, SOON);
        return fleet;
    }

    static DiscoveryFleet fleet(int controllers) {
        return fleet(1, 1, controllers, TERMS);
    }

    static void comesInStep(DiscoveryFleet fleet, Duration within) {
        boolean isInStep = fleet.until(within, fleet::isInStep);
        assertEquals(Optional.empty(), fleet.violations().first());
        assertTrue(isInStep, () -> fleet.lag().orElse(""));
    }

    static void keepsInvariants(DiscoveryFleet fleet, Duration during) {
        fleet.pass(during);
        assertEquals(Optional.empty(), fleet.violations().first());
    }

    static void cut(DiscoveryFleet fleet, FleetProcess one, FleetProcess other) {
        fleet.faults().partition(one.name(), other.name());
    }

    static Map<String, ServiceState> states(ControllerProcess controller) {
        Map<String, ServiceState> states = new HashMap<>();
        controller.watched().forEach(service -> controller.client().state(service)
                .ifPresent(state -> states.put(service, state)));
        return states;
    }

    /** Snapshots that the controllers and the relays were sent. */
    static long snapshots(DiscoveryFleet fleet) {
        long toRelays = Stream.concat(fleet.regionRelays().stream(), fleet.zoneRelays().stream())
                .mapToLong(one -> one.relay().upstream().counters().snapshots()).sum();
        return toRelays + fleet.controllers().stream().mapToLong(one -> one.client().counters().snapshots()).sum();
    }

    static void configure(DiscoveryFleet fleet, int times) {
        for (int i = 0; i < times; i++) {
            fleet.change(contents -> contents.configure(SERVICE));
            fleet.pass(Duration.ofMillis(2));
        }
    }

    static Set<String> connected(DiscoveryFleet fleet) {
        Set<String> connected = new TreeSet<>();
        fleet.controllers().stream().filter(one -> one.client().publisher().isPresent())
                .forEach(one -> connected.add(one.name()));
        return connected;
    }

    static long millisUntil(DiscoveryFleet fleet, BooleanSupplier holds) {
        long begin = (long) fleet.world().nowMs();
        assertTrue(fleet.until(Duration.ofSeconds(60), holds));
        return (long) fleet.world().nowMs() - begin;
    }
}
