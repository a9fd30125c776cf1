package pathlane.lab.discovery;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.Catalogue;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceState;
import pathlane.discovery.Source;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/**
 * The source process. A new incarnation has a higher epoch, and is incomplete until it has loaded the contents, a few
 * servers of a service at a time.
 */
final class SourceProcess extends FleetProcess {

    private static final Duration LOAD_INTERVAL = Duration.ofMillis(20);
    private static final int SERVERS_PER_LOAD = 2;

    private final ServiceContents contents;
    private final SourceHistory history;
    private Source source;

    SourceProcess(DiscoveryFleet fleet, String zone, String region, int port, ServiceContents contents,
            SourceHistory history) {
        super(fleet, "source", zone, region, port);
        this.contents = contents;
        this.history = history;
    }

    @Override
    void startStateMachines(AuthenticatedLink.Context common) {
        source = new Source(incarnation(), fleet().shape().terms(), common, time(), fleet().newRandom());
        time().after(LOAD_INTERVAL, this::loadNext);
    }

    @Override
    Optional<Protocol> accept() {
        return Optional.of(source.accept());
    }

    Source source() {
        return source;
    }

    Catalogue catalogue() {
        return source.catalogue();
    }

    /** Publishes a change that was made to the contents. */
    void publish(ServiceContents.Change change) {
        time().run(() -> apply(change));
    }

    private void loadNext() {
        Optional<String> partial = contents.services().keySet().stream().filter(one -> !isFullyLoaded(one)).findFirst();
        if (partial.isPresent()) {
            load(partial.get());
            time().after(LOAD_INTERVAL, this::loadNext);
            return;
        }
        history.recordComplete(incarnation());
        fleet().trace().record(name(), "is complete at " + catalogue().revision());
        catalogue().complete();
    }

    private void load(String service) {
        ServiceContents.Content content = contents.services().get(service);
        List<ServerEndpoint> held = endpoints(service);
        List<ServerEndpoint> missing = content.endpoints().stream().filter(endpoint -> !held.contains(endpoint))
                .limit(SERVERS_PER_LOAD).toList();
        recordChange(service, catalogue().update(service, missing, List.of(), Optional.of(content.configuration)));
    }

    private List<ServerEndpoint> endpoints(String service) {
        return catalogue().state(service).map(ServiceState::endpoints).orElse(List.of());
    }

    /** Whether the source holds everything that the contents have of a service. */
    private boolean isFullyLoaded(String service) {
        ServiceContents.Content content = contents.services().get(service);
        return catalogue().state(service).isPresent() == (content != null)
                && (content == null || endpoints(service).containsAll(content.endpoints()));
    }

    private void apply(ServiceContents.Change change) {
        String service = change.service();
        if (!catalogue().isComplete() && catalogue().state(service).isEmpty()) {
            return;   // not loaded yet; loading will include the change
        }
        if (change.removesService()) {
            recordChange(service, catalogue().remove(service));
        } else {
            recordChange(service, catalogue().update(service, change.upserted(), change.removed(),
                    change.configuration()));
        }
    }

    private void recordChange(String service, Revision revision) {
        history.record(service, revision, catalogue().state(service), isFullyLoaded(service));
        fleet().trace().record(name(), revision + " changes " + service);
    }
}
