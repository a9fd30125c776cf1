package pathlane.lab.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import pathlane.core.CloseReason;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchTerms;
import pathlane.group.KeyRing;
import pathlane.lab.Faults;
import pathlane.lab.FaultyConnection;
import pathlane.lab.SimulatedProcess;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/**
 * Runs discovery's state machines as a fleet in virtual time on one thread: a source, a relay for each region, relays for
 * each zone, and controllers, each a separate process, over authenticated links with faults. A seed gives the same events
 * in every run.
 */
final class DiscoveryFleet {

    static final Duration LATENCY = Duration.ofMillis(1);
    static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
    static final Duration MAX_RETURN_DELAY = Duration.ofSeconds(2);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
    private static final int SOURCE_PORT = 9_000;
    private static final int RELAY_PORT = 9_100;
    private static final int CONTROLLER_PORT = 9_500;
    private static final int NONCE_BYTES = 16;
    private static final KeyRing KEYS = KeyRing.read("k1 000102030405060708090a0b0c0d0e0f\n");

    private final FleetShape shape;
    private final VirtualTime virtualTime = new VirtualTime();
    private final Faults faults = new Faults();
    private final SplittableRandom random;
    private final EventTrace trace;
    private final Violations violations;
    private final SourceHistory history = new SourceHistory();
    private final ServiceContents contents;
    private final FleetObserver observer;
    private final ProgressInvariants progress;
    private final SourceProcess source;
    private final List<RelayProcess> regionRelays = new ArrayList<>();
    private final List<RelayProcess> zoneRelays = new ArrayList<>();
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final Map<Integer, FleetProcess> listeners = new HashMap<>();
    private final Map<String, List<ObservedLink>> links = new HashMap<>();

    /** Creates a fleet whose processes have not been started. */
    DiscoveryFleet(FleetShape shape, long seed) {
        this(shape, seed, Optional.empty());
    }

    /** Creates a fleet whose processes have not been started, with a reader of the trace's lines. */
    DiscoveryFleet(FleetShape shape, long seed, Optional<Consumer<String>> reader) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
        this.trace = reader.map(lines -> new EventTrace(virtualTime, lines)).orElseGet(() -> new EventTrace(virtualTime));
        this.violations = new Violations(trace);
        this.contents = new ServiceContents(random.split(), shape.services(), shape.servers());
        ControllerInvariants controllerInvariants = new ControllerInvariants(history, violations);
        this.observer = new FleetObserver(new PublisherInvariants(shape.terms(), history, violations),
                controllerInvariants);
        this.progress = new ProgressInvariants(this, violations);
        this.source = new SourceProcess(this, zone(0, 0), region(0), SOURCE_PORT, contents, history);
        listeners.put(SOURCE_PORT, source);
        for (int i = 0; i < shape.regions(); i++) {
            addRelay(regionRelays, "relay-" + region(i), zone(i, 0), region(i), List.of(source));
        }
        for (int i = 0; i < shape.regions(); i++) {
            addZoneRelays(i);
        }
        for (int i = 0; i < shape.controllers(); i++) {
            addController(i, controllerInvariants);
        }
    }

    private void addZoneRelays(int region) {
        for (int zone = 0; zone < shape.zonesPerRegion(); zone++) {
            for (int i = 0; i < shape.relaysPerZone(); i++) {
                addRelay(zoneRelays, "relay-" + zone(region, zone) + "-" + (i + 1), zone(region, zone), region(region),
                        regionRelays);
            }
        }
    }

    private void addRelay(List<RelayProcess> tier, String name, String zone, String region,
            List<? extends FleetProcess> upstreams) {
        int port = RELAY_PORT + regionRelays.size() + zoneRelays.size();
        RelayProcess relay = new RelayProcess(this, name, zone, region, port, upstreams);
        tier.add(relay);
        listeners.put(port, relay);
    }

    private void addController(int index, ControllerInvariants invariants) {
        int region = index % shape.regions();
        int zone = index / shape.regions() % shape.zonesPerRegion();
        ControllerProcess controller = new ControllerProcess(this, "controller-" + (index + 1), zone(region, zone),
                region(region), CONTROLLER_PORT + index, zoneRelays, invariants);
        controllers.add(controller);
        List<String> services = List.copyOf(contents.services().keySet());
        for (int i = 1 + random.nextInt(services.size()); i > 0; i--) {
            controller.watch(services.get(random.nextInt(services.size())));
        }
    }

    private static String region(int region) {
        return "r" + (region + 1);
    }

    private static String zone(int region, int zone) {
        return region(region) + "z" + (zone + 1);
    }

    // ---- used by the processes

    FleetShape shape() {
        return shape;
    }

    KeyRing keys() {
        return KEYS;
    }

    byte[] nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return bytes;
    }

    RandomGenerator newRandom() {
        return random.split();
    }

    WatchTerms watchTerms(FleetProcess subscriber, List<? extends FleetProcess> publishers) {
        List<WatchTerms.PublisherAddress> addresses = publishers.stream()
                .map(one -> new WatchTerms.PublisherAddress(one.name(), one.address(), one.zone(), one.region())).toList();
        return new WatchTerms(subscriber.name(), subscriber.zone(), subscriber.region(), addresses, INITIAL_BACKOFF,
                MAX_BACKOFF, SILENCE_TIMEOUT, MAX_RETURN_DELAY);
    }

    /** Returns a connector that connects on behalf of the current incarnation of a process. */
    Connector connector(FleetProcess subscriber) {
        SimulatedProcess incarnationTime = subscriber.time();
        return (address, timeout, protocol) -> connect(subscriber, incarnationTime, address, timeout, protocol);
    }

    private void connect(FleetProcess subscriber, SimulatedProcess incarnationTime, InetSocketAddress address,
            Duration timeout,
            Protocol protocol) {
        FleetProcess publisher = listeners.get(address.getPort());
        String from = subscriber.name();
        String to = publisher.name();
        Protocol ownProtocol = incarnationTime.guard(protocol);
        virtualTime.after(LATENCY, () -> {
            if (incarnationTime.isDead()) {
                return;
            }
            if (faults.isBlocked(from, to) || faults.isBlocked(to, from)) {
                virtualTime.after(timeout, () -> ownProtocol.closed(CloseReason.CONNECT_TIMED_OUT));
                return;
            }
            Optional<Protocol> accepted = publisher.isUp() ? publisher.accept() : Optional.empty();
            if (accepted.isEmpty()) {
                ownProtocol.closed(CloseReason.REFUSED);
                return;
            }
            ObservedLink link = new ObservedLink(subscriber, publisher, trace, observer);
            links.computeIfAbsent(to + "#" + publisher.incarnation(), any -> new ArrayList<>()).add(link);
            trace.record(from, "connects to " + to);
            new FaultyConnection(virtualTime, faults, LATENCY, from, incarnationTime.guard(link.atSubscriber(protocol)), to,
                    publisher.time().guard(link.atPublisher(accepted.get())));
        });
    }

    // ---- used by schedules and tests

    VirtualTime virtualTime() {
        return virtualTime;
    }

    Faults faults() {
        return faults;
    }

    EventTrace trace() {
        return trace;
    }

    Violations violations() {
        return violations;
    }

    ServiceContents contents() {
        return contents;
    }

    SourceHistory history() {
        return history;
    }

    ProgressInvariants progress() {
        return progress;
    }

    SourceProcess source() {
        return source;
    }

    List<RelayProcess> regionRelays() {
        return regionRelays;
    }

    List<RelayProcess> zoneRelays() {
        return zoneRelays;
    }

    List<ControllerProcess> controllers() {
        return controllers;
    }

    /** All processes, the source first. */
    List<FleetProcess> processes() {
        return Stream.of(List.of(source), regionRelays, zoneRelays, controllers).flatMap(List::stream)
                .map(one -> (FleetProcess) one).toList();
    }

    /** Returns the connections that an incarnation of a publisher accepted, in order. */
    List<ObservedLink> links(FleetProcess publisher, int incarnation) {
        return links.getOrDefault(publisher.name() + "#" + incarnation, List.of());
    }

    /** Starts every process that is not up. */
    void startAll() {
        processes().forEach(FleetProcess::start);
    }

    /** Changes the contents, and has the source publish the change if it is up. */
    void change(Function<ServiceContents, ServiceContents.Change> makeChange) {
        ServiceContents.Change change = makeChange.apply(contents);
        boolean isEmpty = !change.removesService() && change.upserted().isEmpty() && change.removed().isEmpty()
                && change.configuration().isEmpty();
        if (!isEmpty && source.isUp()) {
            source.publish(change);
        }
    }

    /** Advances virtual time and checks the progress reports meanwhile; returns early at a violation. */
    void advance(Duration time) {
        for (Duration remaining = time; !remaining.isZero() && violations.isEmpty();) {
            Duration step = remaining.compareTo(CHECK_INTERVAL) < 0 ? remaining : CHECK_INTERVAL;
            virtualTime.advance(step);
            progress.check();
            remaining = remaining.minus(step);
        }
    }

    /** Advances virtual time until the condition holds; returns false if it does not within the timeout. */
    boolean advanceUntil(Duration timeout, BooleanSupplier condition) {
        for (Duration remaining = timeout; !remaining.isNegative() && violations.isEmpty()
                && !condition.getAsBoolean(); remaining =
                        remaining.minus(CHECK_INTERVAL)) {
            advance(CHECK_INTERVAL);
        }
        return condition.getAsBoolean();
    }

    /** Describes why the fleet has not converged with its source; empty if it has. */
    Optional<String> lag() {
        if (!source.catalogue().isComplete()) {
            return Optional.of("the source is not complete");
        }
        for (ControllerProcess controller : controllers) {
            for (String service : controller.watched()) {
                Optional<ServiceState> published = source.catalogue().state(service);
                Optional<ServiceState> held = controller.client().state(service);
                if (!published.equals(held)) {
                    return Optional.of(controller + " has " + held + " in force, the source " + published);
                }
            }
        }
        return progressLag();
    }

    private Optional<String> progressLag() {
        var levels = source.source().publisher().progress().levels();
        boolean isCounted = levels.size() == 1 && levels.get(0).controllers() == controllers.size()
                && levels.get(0).inForce().equals(source.catalogue().revision());
        return isCounted ? Optional.empty() : Optional.of("the source is at " + source.catalogue().revision()
                + " with " + controllers.size() + " controllers, and counts "
                + source.source().publisher().progress());
    }

    boolean isConverged() {
        return lag().isEmpty();
    }
}
