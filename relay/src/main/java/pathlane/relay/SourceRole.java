package pathlane.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;
import pathlane.discovery.Catalogue;
import pathlane.discovery.InForceTracker;
import pathlane.discovery.Publisher;
import pathlane.discovery.Source;
import pathlane.group.AuthenticatedLink;
import pathlane.relay.ProgramFile.BusOrigin;
import pathlane.relay.ProgramFile.CatalogueOrigin;
import pathlane.relay.ProgramFile.SourceFile;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/** The source: fills the catalogue from the event bus or from a file, under its own epoch. */
final class SourceRole implements Role {

    private final Source source;
    private final ContentFeed feed;

    /** Takes the next epoch; it is durable on disk once this returns. */
    SourceRole(SourceFile file, AuthenticatedLink.Context context, Connector connector, Scheduler scheduler,
            RandomGenerator random) {
        // Before the epoch is taken: a start that fails because of its content uses up no epoch.
        ContentFeed.Factory factory = factory(file.origin(), connector, scheduler, random);
        long epoch = new EpochFile(file.epochFile()).next();
        source = new Source(epoch, file.common().terms(), context, scheduler, random);
        feed = factory.create(source);
    }

    private static ContentFeed.Factory factory(ProgramFile.Origin origin, Connector connector, Scheduler scheduler,
            RandomGenerator random) {
        if (origin instanceof CatalogueOrigin file) {
            CatalogueFile.read(file.catalogue());
            return source -> new CatalogueFeed(file.catalogue(), source);
        }
        BusOrigin bus = (BusOrigin) origin;
        return source -> new BusSource(bus, source, connector, scheduler, random.nextLong());
    }

    @Override
    public String title() {
        return "source";
    }

    @Override
    public Protocol accept() {
        return source.accept();
    }

    @Override
    public Publisher publisher() {
        return source.publisher();
    }

    @Override
    public Catalogue catalogue() {
        return source.catalogue();
    }

    @Override
    public void start() {
        feed.start();
    }

    @Override
    public void reload() {
        feed.reload();
    }

    @Override
    public void stop() {
        // The feed's connection closes when the process exits.
    }

    @Override
    public String details() {
        InForceTracker tracker = source.inForce();
        return feed.details() + " in_force_everywhere=" + tracker.times() + " waiting=" + tracker.waiting() + " p50="
                + millis(tracker.percentile(50)) + " p99=" + millis(tracker.percentile(99)) + " most="
                + millis(tracker.percentile(100));
    }

    private static String millis(Optional<Duration> time) {
        return time.map(duration -> duration.toMillis() + "ms").orElse("-");
    }
}
