package pathlane.lab.discovery;

import java.util.List;
import java.util.Optional;
import pathlane.discovery.Relay;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/** A relay process of a region or a zone; each incarnation starts with an empty catalogue. */
final class RelayProcess extends FleetProcess {

    private final List<? extends FleetProcess> upstreams;
    private Relay relay;

    RelayProcess(DiscoveryFleet fleet, String name, String zone, String region, int port,
            List<? extends FleetProcess> upstreams) {
        super(fleet, name, zone, region, port);
        this.upstreams = upstreams;
    }

    @Override
    void startStateMachines(AuthenticatedLink.Context common) {
        relay = new Relay(fleet().watchTerms(this, upstreams), fleet().shape().terms(), common, fleet().connector(this),
                time(), fleet().newRandom());
        relay.start();
    }

    @Override
    Optional<Protocol> accept() {
        return Optional.of(relay.accept());
    }

    Relay relay() {
        return relay;
    }
}
