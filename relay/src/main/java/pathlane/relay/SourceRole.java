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

/** The source: fills the catalogue from the event bus or from a file, under an epoch of its own. */
final class SourceRole implements Role {

    private final Source source;
    private final ContentFeed feed;

    /** Takes the next epoch, which is on the disk once this returns. */
    SourceRole(SourceFile file, AuthenticatedLink.Context common, Connector dialer, Scheduler scheduler,
            RandomGenerator random) {
        // Before the epoch: a start that fails for its content takes none.
        ContentFeed.Factory factory = factory(file.origin(), dialer, scheduler, random);
        long epoch = new EpochFile(file.epochFile()).next();
        source = new Source(epoch, file.common().terms(), common, scheduler, random);
        feed = factory.into(source);
    }

    private static ContentFeed.Factory factory(ProgramFile.Origin origin, Connector dialer, Scheduler scheduler,
            RandomGenerator random) {
        if (origin instanceof CatalogueOrigin file) {
            CatalogueFile.read(file.catalogue());
            return source -> new CatalogueFeed(file.catalogue(), source);
        }
        BusOrigin bus = (BusOrigin) origin;
        return source -> new BusSource(bus, source, dialer, scheduler, random.nextLong());
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
        // The feed's connection ends with the process.
    }

    @Override
    public String details() {
        InForceTracker tracker = source.inForce();
        return feed.details() + " in_force_everywhere=" + tracker.times() + " waiting=" + tracker.waiting() + " p50="
                + millis(tracker.percentile(50)) + " p99=" + millis(tracker.percentile(99)) + " most="
                + millis(tracker.percentile(100));
    }

    private static String millis(Optional<Duration> time) {
        return time.map(one -> one.toMillis() + "ms").orElse("-");
    }
}
