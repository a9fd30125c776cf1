package pathlane.relay;

import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;
import pathlane.discovery.Catalogue;
import pathlane.discovery.Publisher;
import pathlane.discovery.Relay;
import pathlane.discovery.WatchCounters;
import pathlane.group.AuthenticatedLink;
import pathlane.relay.ProgramFile.RelayFile;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/** A relay: watches the complete catalogue at one of its publishers and republishes it. */
final class RelayRole implements Role {

    private final Relay relay;

    RelayRole(RelayFile file, AuthenticatedLink.Context context, Connector connector, Scheduler scheduler,
            RandomGenerator random) {
        relay = new Relay(file.upstream(), file.common().terms(), context, connector, scheduler, random);
    }

    @Override
    public String title() {
        return "relay";
    }

    @Override
    public Protocol accept() {
        return relay.accept();
    }

    @Override
    public Publisher publisher() {
        return relay.publisher();
    }

    @Override
    public Catalogue catalogue() {
        return relay.catalogue();
    }

    @Override
    public void start() {
        relay.start();
    }

    @Override
    public void reload() {
        // Publishers and limits are read only at startup.
    }

    @Override
    public void stop() {
        relay.upstream().stop();
    }

    @Override
    public String details() {
        WatchCounters counters = relay.upstream().counters();
        return "upstream=" + relay.upstream().publisher().orElse("-") + " connections=" + counters.connections()
                + " received_snapshots=" + counters.snapshots() + " received_deltas=" + counters.deltas() + " gaps="
                + counters.gaps() + " withheld=" + counters.withheld();
    }
}
