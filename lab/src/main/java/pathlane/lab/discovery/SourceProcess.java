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
 * The source's process. A new life has a greater epoch, and is incomplete until it has loaded the contents, a few servers of
 * a service at a time.
 */
final class SourceProcess extends FleetProcess {

    private static final Duration LOAD_EACH = Duration.ofMillis(20);
    private static final int SERVERS_AT_ONCE = 2;

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
    void begin(AuthenticatedLink.Context common) {
        source = new Source(life(), fleet().shape().terms(), common, time(), fleet().newRandom());
        time().after(LOAD_EACH, this::loadNext);
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

    /** Publishes a change that was made of the contents. */
    void publish(ServiceContents.Change change) {
        time().run(() -> apply(change));
    }

    private void loadNext() {
        Optional<String> partial = contents.services().keySet().stream().filter(one -> !isWhole(one)).findFirst();
        if (partial.isPresent()) {
            load(partial.get());
            time().after(LOAD_EACH, this::loadNext);
            return;
        }
        history.noteComplete(life());
        fleet().trace().note(name(), "is complete at " + catalogue().revision());
        catalogue().complete();
    }

    private void load(String service) {
        ServiceContents.Content content = contents.services().get(service);
        List<ServerEndpoint> held = endpoints(service);
        List<ServerEndpoint> missing = content.endpoints().stream().filter(line -> !held.contains(line))
                .limit(SERVERS_AT_ONCE).toList();
        noteChange(service, catalogue().update(service, missing, List.of(), Optional.of(content.configuration)));
    }

    private List<ServerEndpoint> endpoints(String service) {
        return catalogue().state(service).map(ServiceState::endpoints).orElse(List.of());
    }

    /** Whether the source holds all that there is of a service. */
    private boolean isWhole(String service) {
        ServiceContents.Content content = contents.services().get(service);
        return catalogue().state(service).isPresent() == (content != null)
                && (content == null || endpoints(service).containsAll(content.endpoints()));
    }

    private void apply(ServiceContents.Change change) {
        String service = change.service();
        if (!catalogue().isComplete() && catalogue().state(service).isEmpty()) {
            return;   // will be loaded as it is by then
        }
        if (change.removesService()) {
            noteChange(service, catalogue().remove(service));
        } else {
            noteChange(service, catalogue().update(service, change.upserted(), change.removed(),
                    change.configuration()));
        }
    }

    private void noteChange(String service, Revision revision) {
        history.note(service, revision, catalogue().state(service), isWhole(service));
        fleet().trace().note(name(), revision + " changes " + service);
    }
}
