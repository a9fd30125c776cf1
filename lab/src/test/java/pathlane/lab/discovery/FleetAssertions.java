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

/** Fleets that have converged, and the assertions and helpers of discovery's directed tests. */
final class FleetAssertions {

    static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(10);
    static final PublisherTerms TERMS = FleetShape.TIGHT_LIMITS;
    static final String SERVICE = "service-1";

    private FleetAssertions() {}

    static DiscoveryFleet fleet(int regions, int relaysPerZone, int controllers, PublisherTerms terms) {
        DiscoveryFleet fleet = new DiscoveryFleet(new FleetShape(regions, 1, relaysPerZone, controllers, 3, 4, terms), 7);
        fleet.controllers().forEach(one -> one.watch(SERVICE));
        fleet.startAll();
        assertConverges(fleet, CONVERGENCE_TIMEOUT);
        return fleet;
    }

    static DiscoveryFleet fleet(int controllers) {
        return fleet(1, 1, controllers, TERMS);
    }

    static void assertConverges(DiscoveryFleet fleet, Duration timeout) {
        boolean isConverged = fleet.advanceUntil(timeout, fleet::isConverged);
        assertEquals(Optional.empty(), fleet.violations().first());
        assertTrue(isConverged, () -> fleet.lag().orElse(""));
    }

    static void assertInvariantsHold(DiscoveryFleet fleet, Duration during) {
        fleet.advance(during);
        assertEquals(Optional.empty(), fleet.violations().first());
    }

    static void partition(DiscoveryFleet fleet, FleetProcess one, FleetProcess other) {
        fleet.faults().partition(one.name(), other.name());
    }

    static Map<String, ServiceState> states(ControllerProcess controller) {
        Map<String, ServiceState> states = new HashMap<>();
        controller.watched().forEach(service -> controller.client().state(service)
                .ifPresent(state -> states.put(service, state)));
        return states;
    }

    /** Returns the number of snapshots that the controllers and the relays received. */
    static long receivedSnapshots(DiscoveryFleet fleet) {
        long toRelays = Stream.concat(fleet.regionRelays().stream(), fleet.zoneRelays().stream())
                .mapToLong(one -> one.relay().upstream().counters().snapshots()).sum();
        return toRelays + fleet.controllers().stream().mapToLong(one -> one.client().counters().snapshots()).sum();
    }

    static void configure(DiscoveryFleet fleet, int times) {
        for (int i = 0; i < times; i++) {
            fleet.change(contents -> contents.configure(SERVICE));
            fleet.advance(Duration.ofMillis(2));
        }
    }

    static Set<String> connected(DiscoveryFleet fleet) {
        Set<String> connected = new TreeSet<>();
        fleet.controllers().stream().filter(one -> one.client().publisher().isPresent())
                .forEach(one -> connected.add(one.name()));
        return connected;
    }

    static long millisUntil(DiscoveryFleet fleet, BooleanSupplier condition) {
        long start = (long) fleet.virtualTime().nowMs();
        assertTrue(fleet.advanceUntil(Duration.ofSeconds(60), condition));
        return (long) fleet.virtualTime().nowMs() - start;
    }
}
