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
 * Fills a source from the platform's event bus. Nothing is published before the bus has sent its complete list: otherwise
 * subscribers would take servers that are missing from a partial list for removed ones.
 */
final class BusSource implements ContentFeed {

    private static final Logger LOG = System.getLogger("source");
    /** Number of the last known event: a client that asks from event 0 gets the complete list. */
    private static final long NO_EVENT_RECEIVED = 0;
    private static final Duration STALENESS_CHECK_INTERVAL = Duration.ofSeconds(1);
    /** The bus sends a heartbeat each second; a single late or lost one does not justify a message to every subscriber. */
    private static final Duration STALE_AFTER = Duration.ofMillis(2500);

    private final BusOrigin origin;
    private final Source source;
    private final Scheduler scheduler;
    private final ServerDirectory directory;
    private final BusFeed bus;
    private Map<String, String> configurations;
    private boolean hasList;
    private Instant startedAt = Instant.MIN;

    BusSource(BusOrigin origin, Source source, Connector connector, Scheduler scheduler, long seed) {
        this.origin = origin;
        this.source = source;
        this.scheduler = scheduler;
        this.directory = new ServerDirectory(origin.services());
        this.configurations = readConfigurations();
        this.bus = new BusFeed(NO_EVENT_RECEIVED, connector, scheduler, new SplittableRandom(seed), this::serversChanged,
                () -> {});
    }

    private Map<String, String> readConfigurations() {
        Map<String, String> contents = new HashMap<>();
        for (Map.Entry<String, ConfigurationText> entry : origin.configurations().entrySet()) {
            contents.put(entry.getKey(), entry.getValue().read());
        }
        return contents;
    }

    @Override
    public void start() {
        bus.caughtUp().thenRun(this::completeOnceListReceived);
        startedAt = scheduler.now();
        bus.follow(origin.bus());
        checkStaleness();
    }

    private void serversChanged(ServerList list) {
        Map<String, ServerDirectory.EndpointChange> changes = directory.apply(list);
        hasList = true;
        if (source.catalogue().isComplete()) {
            changes.forEach((service, change) -> source.catalogue().update(service, change.upserted(), change.removed(),
                    Optional.empty()));
        } else {
            completeOnceListReceived();
        }
    }

    /** A bus that is itself just starting may have no list yet: the source then waits for the first event. */
    private void completeOnceListReceived() {
        if (!hasList || !bus.caughtUp().isDone() || source.catalogue().isComplete()) {
            return;
        }
        publishAll();
        source.catalogue().complete();
        LOG.log(Level.INFO, "the event bus has sent its complete list: {0} services, {1} servers without a service",
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

    /** While the bus is silent the published content may be outdated: subscribers are notified since when. */
    private void checkStaleness() {
        source.publisher().setStaleSince(silentSince());
        scheduler.after(STALENESS_CHECK_INTERVAL, this::checkStaleness);
    }

    private Optional<Instant> silentSince() {
        Instant last = bus.lastFrame().isAfter(startedAt) ? bus.lastFrame() : startedAt;
        return scheduler.now().isBefore(last.plus(STALE_AFTER)) ? Optional.empty() : Optional.of(last);
    }
}
