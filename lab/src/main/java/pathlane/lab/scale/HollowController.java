package pathlane.lab.scale;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.Scheduler;
import pathlane.core.ServerLine;
import pathlane.decision.Gateway;
import pathlane.decision.Logic;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceDigest;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchClient;
import pathlane.discovery.WatchCounters;
import pathlane.discovery.WatchListener;
import pathlane.discovery.WatchTerms;
import pathlane.group.Keys;
import pathlane.link.Dialer;
import pathlane.link.LimitedLog;

/**
 * A call controller without callers and without connections to session servers: the real watch client over a connection of
 * its own, and the real decision module, which is told of the servers of the services that the controller watches. On the
 * loop's thread.
 */
final class HollowController {

    /**
     * What the controllers of one process share.
     *
     * @param dialer opens the connections; each controller counts its own
     */
    record Environment(Dialer dialer, Scheduler scheduler, Keys keys, LimitedLog log, Settings settings,
                       InForceRecorder recorder) { }

    /** What the decision module was told of one service. */
    private static final class ListedService {
        private long revision;
        private Set<Long> servers = Set.of();
    }

    private final String name;
    private final int region;
    private final Environment environment;
    private final CountedDialer dialer;
    private final WatchClient client;
    private final Logic logic;
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
        this.logic = new Logic(environment.settings(), seed, new IdleActions(environment.scheduler(), this::woken));
        logic.listed(nowMillis(), true, List.of());
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

    /** The number of the revision up to which everything that is watched is in force. */
    long inForce() {
        return client.inForce().number();
    }

    /** Servers that the decision module knows of. */
    long endpoints() {
        return listed.values().stream().mapToLong(service -> service.servers.size()).sum();
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
        if (ServiceDigest.of(state.get().endpoints(), state.get().configuration()) != digest) {
            return Optional.of("has another digest than at the source");
        }
        Set<Long> servers = ids(state.get().endpoints());
        return servers.equals(listed.get(service).servers) ? Optional.empty()
                : Optional.of("has other servers in the decision module");
    }

    private static Set<Long> ids(List<ServerLine> lines) {
        Set<Long> ids = new HashSet<>();
        lines.forEach(line -> ids.add(line.id()));
        return ids;
    }

    private void woken() {
        logic.woken(nowMillis());
    }

    private double nowMillis() {
        return Millis.of(environment.scheduler().now());
    }

    /** A line of the list as the decision module is told of it. */
    static Gateway.Listed listed(ServerLine line) {
        return new Gateway.Listed(line.id(), line.cell(), line.mode(),
                line.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(line.startedAt()), line.weight());
    }

    private static Gateway.Listed gone(long id) {
        return new Gateway.Listed(id, 0, Gateway.Mode.GONE, 0, 1);
    }

    /** Tells the decision module of what has changed, as the program does. */
    private final class Listener implements WatchListener {

        @Override
        public void changed(ServiceState state, ServiceChange change) {
            ListedService service = listed.computeIfAbsent(state.service(), any -> new ListedService());
            Set<Long> servers = ids(state.endpoints());
            List<Gateway.Listed> lines = new ArrayList<>();
            service.servers.stream().filter(id -> !servers.contains(id)).forEach(id -> lines.add(gone(id)));
            List<ServerLine> fresh = change instanceof ServiceChange.Delta delta ? delta.upserted() : state.endpoints();
            fresh.forEach(line -> lines.add(listed(line)));
            inForce(service, servers, lines, state.revision());
        }

        @Override
        public void absent(String name, Revision revision) {
            ListedService service = listed.computeIfAbsent(name, any -> new ListedService());
            List<Gateway.Listed> lines = new ArrayList<>();
            service.servers.forEach(id -> lines.add(gone(id)));
            inForce(service, Set.of(), lines, revision);
        }

        private void inForce(ListedService service, Set<Long> servers, List<Gateway.Listed> lines, Revision revision) {
            if (!lines.isEmpty()) {
                logic.listed(nowMillis(), false, lines);
            }
            service.servers = servers;
            if (service.revision > 0) {
                environment.recorder().inForce(region, service.revision, revision.number(), environment.scheduler().now());
            }
            service.revision = Math.max(service.revision, revision.number());
        }

        @Override
        public void status(PublisherStatus status) { }
    }
}
