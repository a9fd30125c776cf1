package pathlane.lab.scale;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.Scheduler;
import pathlane.core.ServerEndpoint;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.AdaptiveRoutingPolicy;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchClient;
import pathlane.discovery.WatchCounters;
import pathlane.discovery.WatchListener;
import pathlane.discovery.WatchTerms;
import pathlane.group.KeyRing;
import pathlane.transport.Connector;
import pathlane.transport.RateLimitedLog;

/**
 * A call controller without callers and without connections to session servers: the real watch client over a connection of
 * its own, and the real decision module for each service that it watches. On the loop's thread.
 */
final class HollowController {

    /**
     * What the controllers of one process share.
     *
     * @param dialer opens the connections; each controller counts its own
     */
    record Environment(Connector dialer, Scheduler scheduler, KeyRing keys, RateLimitedLog log, Settings settings,
            InForceRecorder recorder) {}

    /** One service's decision module, and the revision that it was told. */
    private final class ListedService {

        private final AdaptiveRoutingPolicy logic =
                new AdaptiveRoutingPolicy(environment.settings(), seed, new IdleActions(environment.scheduler(),
                        () -> woken(this)));
        private long revision;
    }

    private final String name;
    private final int region;
    private final Environment environment;
    private final CountedDialer dialer;
    private final WatchClient client;
    private final long seed;
    private final List<String> watched;
    private final Map<String, ListedService> listed = new HashMap<>();

    HollowController(WatchTerms terms, int region, List<String> watched, long seed, Environment environment) {
        this.name = terms.name();
        this.region = region;
        this.watched = watched;
        this.environment = environment;
        this.dialer = new CountedDialer(environment.dialer());
        this.client = new WatchClient(terms, dialer,
                RunFolder.linkCommon(name, environment.keys(), environment.scheduler(), environment.log()),
                environment.scheduler(), new SplittableRandom(seed), new Listener());
        this.seed = seed;
    }

    /** Starts to watch. */
    void start() {
        watched.forEach(client::watch);
        client.start();
    }

    /** Ends the watch; what is in force stays. */
    void stop() {
        client.stop();
    }

    /** Breaks the connection to the publisher. */
    void breakConnection() {
        dialer.breakConnection();
    }

    String name() {
        return name;
    }

    boolean isConnected() {
        return client.publisher().isPresent();
    }

    /** Whether the decision module was told of each service that is watched. */
    boolean isListed() {
        return listed.size() == watched.size();
    }

    /** The number of the revision up to which everything that is watched is in force. */
    long inForce() {
        return client.inForce().number();
    }

    /** Servers of all services that are watched. */
    long endpoints() {
        return watched.stream().mapToLong(service -> client.state(service).map(state -> state.endpoints().size()).orElse(0))
                .sum();
    }

    long bytesReceived() {
        return dialer.received();
    }

    long bytesWritten() {
        return dialer.written();
    }

    ControlMessage.WatchFigures watchFigures() {
        WatchCounters counters = client.counters();
        return new ControlMessage.WatchFigures(counters.connections(), counters.messagesReceived(), counters.snapshots(),
                counters.deltas(), counters.bookmarks(), counters.refused(), counters.gaps(), counters.withheld());
    }

    /** Compares all that is in force with the source's digests; adds a sentence for each service that differs. */
    long verify(Map<String, Long> digests, List<String> differences) {
        long equal = 0;
        for (String service : watched) {
            Optional<String> difference = difference(service, digests.get(service));
            if (difference.isEmpty()) {
                equal++;
            } else {
                differences.add(name + ": " + service + " " + difference.get());
            }
        }
        return equal;
    }

    private Optional<String> difference(String service, Long digest) {
        Optional<ServiceState> state = client.state(service);
        if (state.isEmpty() || digest == null) {
            return state.isEmpty() && digest == null ? Optional.empty() : Optional.of("is missing at one side");
        }
        return ServiceDigest.of(state.get().endpoints(), state.get().configuration()) == digest ? Optional.empty()
                : Optional.of("has another digest than at the source");
    }

    private void woken(ListedService service) {
        service.logic.timerFired(nowMillis());
    }

    private double nowMillis() {
        return Millis.of(environment.scheduler().now());
    }

    /** A line of the list as the decision module is told of it. */
    static RoutingPolicy.ListedServer listed(ServerEndpoint line) {
        return new RoutingPolicy.ListedServer(line.id(), line.pool(), line.status(),
                line.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(line.startedAt()), line.weight());
    }

    private static RoutingPolicy.ListedServer gone(long id) {
        return new RoutingPolicy.ListedServer(id, 0, ServerStatus.GONE, 0, 1);
    }

    /** Tells each service's decision module of what has changed, as the program does. */
    private final class Listener implements WatchListener {

        @Override
        public void changed(ServiceState state, ServiceChange change) {
            List<RoutingPolicy.ListedServer> lines = new ArrayList<>();
            if (change instanceof ServiceChange.Delta delta) {
                delta.removed().forEach(id -> lines.add(gone(id)));
                delta.upserted().forEach(line -> lines.add(listed(line)));
                inForce(state.service(), false, lines, state.revision());
            } else {
                state.endpoints().forEach(line -> lines.add(listed(line)));
                inForce(state.service(), true, lines, state.revision());
            }
        }

        @Override
        public void absent(String service, Revision revision) {
            inForce(service, true, List.of(), revision);
        }

        private void inForce(String name, boolean whole, List<RoutingPolicy.ListedServer> lines, Revision revision) {
            ListedService service = listed.computeIfAbsent(name, any -> new ListedService());
            service.logic.serversListed(nowMillis(), whole, lines);
            if (service.revision > 0) {
                environment.recorder().inForce(region, service.revision, revision.number(), environment.scheduler().now());
            }
            service.revision = Math.max(service.revision, revision.number());
        }

        @Override
        public void status(PublisherStatus status) {}
    }
}
