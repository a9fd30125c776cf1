package pathlane.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import pathlane.bus.BusFeed;
import pathlane.bus.ServerList;
import pathlane.core.Scheduler;
import pathlane.discovery.Source;
import pathlane.relay.ProgramFile.BusOrigin;
import pathlane.relay.ProgramFile.ConfigurationText;
import pathlane.transport.Connector;

/**
 * Fills a source from the platform's event bus. Nothing is published before the bus has told its whole list: a source that
 * holds a part of it must not be believed where it lacks something.
 */
final class BusSource implements ContentFeed {

    private static final Logger LOG = System.getLogger("source");
    /** The bus tells its whole list to whoever knows no event yet. */
    private static final long NO_EVENT = 0;
    private static final Duration LOOK_EVERY = Duration.ofSeconds(1);
    /** It says something each second; one heartbeat that is late or lost is not worth a word to every subscriber. */
    private static final Duration STALE_AFTER = Duration.ofMillis(2500);

    private final BusOrigin origin;
    private final Source source;
    private final Scheduler scheduler;
    private final ServerDirectory directory;
    private final BusFeed bus;
    private Map<String, String> configurations;
    private boolean hasList;
    private Instant startedAt = Instant.MIN;

    BusSource(BusOrigin origin, Source source, Connector dialer, Scheduler scheduler, long seed) {
        this.origin = origin;
        this.source = source;
        this.scheduler = scheduler;
        this.directory = new ServerDirectory(origin.services());
        this.configurations = readConfigurations();
        this.bus = new BusFeed(NO_EVENT, dialer, scheduler, new SplittableRandom(seed), this::changed, () -> {});
    }

    private Map<String, String> readConfigurations() {
        Map<String, String> texts = new HashMap<>();
        for (Map.Entry<String, ConfigurationText> one : origin.configurations().entrySet()) {
            texts.put(one.getKey(), one.getValue().read());
        }
        return texts;
    }

    @Override
    public void start() {
        bus.caughtUp().thenRun(this::completeOnceListed);
        startedAt = scheduler.now();
        bus.follow(origin.bus());
        followStaleness();
    }

    private void changed(ServerList list) {
        Map<String, ServerDirectory.EndpointChange> changes = directory.apply(list);
        hasList = true;
        if (source.catalogue().isComplete()) {
            changes.forEach((service, change) -> source.catalogue().update(service, change.upserted(), change.removed(),
                    Optional.empty()));
        } else {
            completeOnceListed();
        }
    }

    /** Guards against a bus that is itself just starting, and has no list yet: the source waits for the first event. */
    private void completeOnceListed() {
        if (!hasList || !bus.caughtUp().isDone() || source.catalogue().isComplete()) {
            return;
        }
        publishAll();
        source.catalogue().complete();
        LOG.log(Level.INFO, "the event bus has told its whole list: {0} services, {1} servers in no service",
                Integer.toString(directory.services().size()), Integer.toString(directory.unassigned()));
    }

    private void publishAll() {
        directory.services().forEach(service -> source.catalogue().replace(service, directory.endpoints(service),
                configurations.getOrDefault(service, "")));
    }

    @Override
    public void reload() {
        configurations = readConfigurations();
        if (source.catalogue().isComplete()) {
            publishAll();
        }
    }

    @Override
    public String details() {
        return "bus=" + (silentSince().isEmpty() ? "current" : "silent") + " unassigned=" + directory.unassigned();
    }

    /** What the bus does not tell can't be published: subscribers are told since when. */
    private void followStaleness() {
        source.publisher().setStaleSince(silentSince());
        scheduler.after(LOOK_EVERY, this::followStaleness);
    }

    private Optional<Instant> silentSince() {
        Instant last = bus.lastFrame().isAfter(startedAt) ? bus.lastFrame() : startedAt;
        return scheduler.now().isBefore(last.plus(STALE_AFTER)) ? Optional.empty() : Optional.of(last);
    }
}
