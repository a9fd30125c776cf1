package pathlane.lab.discovery;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.ServiceState;
import pathlane.discovery.WatchClient;
import pathlane.discovery.WatchListener;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/**
 * The discovery part of a call controller process: a watch client, and the servers that calls would be sent to, which are
 * maintained only from the changes that the client reports.
 */
final class ControllerProcess extends FleetProcess {

    private final List<RelayProcess> relays;
    private final ControllerInvariants invariants;
    private final Set<String> watched = new TreeSet<>();
    private final Map<String, TreeMap<Long, ServerEndpoint>> servers = new HashMap<>();
    private final Map<String, Revision> revisions = new HashMap<>();
    private WatchClient client;
    private Optional<PublisherStatus> lastStatus = Optional.empty();
    private Revision highestInForce = Revision.NONE;

    ControllerProcess(DiscoveryFleet fleet, String name, String zone, String region, int port, List<RelayProcess> relays,
            ControllerInvariants invariants) {
        super(fleet, name, zone, region, port);
        this.relays = relays;
        this.invariants = invariants;
    }

    @Override
    void startStateMachines(AuthenticatedLink.Context common) {
        servers.clear();
        revisions.clear();
        lastStatus = Optional.empty();
        client = new WatchClient(fleet().watchTerms(this, relays), fleet().connector(this), common, time(),
                fleet().newRandom(), new Listener());
        watched.forEach(client::watch);
        client.start();
    }

    @Override
    Optional<Protocol> accept() {
        return Optional.empty();
    }

    WatchClient client() {
        return client;
    }

    Set<String> watched() {
        return watched;
    }

    /** Watches a service; a paused process does so when it is resumed. */
    void watch(String service) {
        if (!isUp()) {
            watched.add(service);
            return;
        }
        time().run(() -> {
            if (watched.add(service)) {
                client.watch(service);
            }
        });
    }

    void unwatch(String service) {
        if (!isUp()) {
            watched.remove(service);
            return;
        }
        time().run(() -> {
            if (watched.remove(service)) {
                client.unwatch(service);
                servers.remove(service);
                revisions.remove(service);
            }
        });
    }

    /** Returns the revision of a service's servers at this controller. */
    Revision revision(String service) {
        return revisions.getOrDefault(service, Revision.NONE);
    }

    /** Returns the highest revision that was ever in force at this controller, in any incarnation. */
    Revision highestInForce() {
        if (isUp() && client.inForce().isAfter(highestInForce)) {
            highestInForce = client.inForce();
        }
        return highestInForce;
    }

    Optional<PublisherStatus> lastStatus() {
        return lastStatus;
    }

    /** Whether a call of the service could currently be sent to the server. */
    boolean wouldSendTo(String service, long server) {
        ServerEndpoint endpoint = servers.getOrDefault(service, new TreeMap<>()).get(server);
        return endpoint != null && endpoint.status() == ServerStatus.RUNNING;
    }

    /** Returns the servers of a service as built from the reported changes. */
    List<ServerEndpoint> servers(String service) {
        return List.copyOf(servers.getOrDefault(service, new TreeMap<>()).values());
    }

    private final class Listener implements WatchListener {

        @Override
        public void changed(ServiceState state, ServiceChange change) {
            fleet().trace().record(name(), "has " + state.service() + " in force at " + state.revision());
            String service = state.service();
            Revision before = revision(service);
            int sizeBefore = servers(service).size();
            apply(service, change);
            revisions.put(service, state.revision());
            invariants.changed(ControllerProcess.this, state, before, sizeBefore);
        }

        @Override
        public void absent(String service, Revision revision) {
            fleet().trace().record(name(), "has no " + service + " at " + revision);
            Revision before = revision(service);
            servers.remove(service);
            revisions.put(service, revision);
            invariants.absent(ControllerProcess.this, service, revision, before);
        }

        @Override
        public void status(PublisherStatus status) {
            lastStatus = Optional.of(status);
        }

        private void apply(String service, ServiceChange change) {
            TreeMap<Long, ServerEndpoint> endpoints = servers.computeIfAbsent(service, any -> new TreeMap<>());
            if (change instanceof ServiceChange.Snapshot snapshot) {
                endpoints.clear();
                snapshot.state().endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
            } else if (change instanceof ServiceChange.Delta delta) {
                delta.removed().forEach(endpoints::remove);
                delta.upserted().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
            }
        }
    }
}
