package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import pathlane.bus.BusFeed;
import pathlane.config.file.ClientLimits;
import pathlane.config.file.NodeConfig;
import pathlane.config.file.ServerLimits;
import pathlane.core.CallController;
import pathlane.core.CallReplication;
import pathlane.core.Scheduler;
import pathlane.core.ServiceDirectory;
import pathlane.transport.ConnectionLimiter;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** The platform's front of a call controller: connects it with clients, session servers and the event bus. */
public final class PlatformFront {

    private static final Logger LOG = System.getLogger("bus");

    private final CallController controller;
    private final BooleanSupplier isReady;
    private final BusFeed feed;
    private final Optional<ServerDiscovery> discovery;
    private final ClientLimits limits;
    private final Scheduler scheduler;
    private final RateLimitedLog clientLog;
    private final Supplier<Optional<NodeConfig>> changedConfig;

    /**
     * Creates a front whose server list starts from the events in the configuration.
     *
     * @param isReady evaluated for each health check by a client
     * @param changedConfig supplies the current configuration if it has changed since it was last read; throws an
     *                      IllegalArgumentException with a description of the fault if the changed one is invalid. Called on
     *                      the event loop, at most once per second, while the event bus can't be reached
     */
    public PlatformFront(NodeConfig config, Connector connector, Scheduler scheduler, BooleanSupplier isReady,
            Supplier<Optional<NodeConfig>> changedConfig) {
        this(config, connector, scheduler, isReady, changedConfig, CallReplication.NONE);
    }

    /** Like the first constructor, with replication of calls to other controllers. */
    public PlatformFront(NodeConfig config, Connector connector, Scheduler scheduler, BooleanSupplier isReady,
            Supplier<Optional<NodeConfig>> changedConfig, CallReplication replication) {
        this(config, connector, scheduler, isReady, changedConfig, replication, Optional.empty());
    }

    /**
     * Like the first constructor, with replication and with discovery, which if present replaces the event bus and the
     * events in the configuration.
     */
    public PlatformFront(NodeConfig config, Connector connector, Scheduler scheduler, BooleanSupplier isReady,
            Supplier<Optional<NodeConfig>> changedConfig, CallReplication replication,
            Optional<ServerDiscovery> discovery) {
        this.discovery = discovery;
        this.isReady = isReady;
        this.changedConfig = changedConfig;
        this.limits = config.clientLimits();
        this.scheduler = scheduler;
        this.clientLog = new RateLimitedLog("callers", scheduler);
        SplittableRandom random = new SplittableRandom(config.seed());
        Instant startedAt = scheduler.now();
        ConnectionLimiter serverLimiter = new ConnectionLimiter(config.descriptors().servers());
        ServerLinkContext context = new ServerLinkContext(config.settings(), ServerLimits.DEFAULT, this::controller,
                this::isListCurrent, connector, scheduler, serverLimiter,
                new ReportPeriod(ServerLimits.DEFAULT.maxReportPeriod(), ServerLimits.DEFAULT.maxFirstReportPeriod()),
                random, startedAt);
        controller = new CallController(config.settings(), config.seed(), scheduler,
                endpoint -> new ServerLink(endpoint, context), replication,
                discovery.<ServiceDirectory>map(directory -> directory).orElse(ServiceDirectory.SINGLE_SERVICE));
        if (discovery.isEmpty()) {
            KnownEvents.read(config).forEach(event -> controller.updateServers(event.isComplete(), event.endpoints()));
        }
        feed = new BusFeed(config.knownOffset(), connector, scheduler, random.split(),
                event -> controller.updateServers(event.isComplete(), event.endpoints()), this::reloadIfChanged);
        if (config.busAddress() != null && discovery.isEmpty()) {
            feed.follow(config.busAddress());
        } else {
            feed.initialSync().complete(null);
        }
    }

    /**
     * Applies a configuration that was read again: the event bus is followed at the address in it. All other settings are
     * applied at the start alone.
     *
     * @throws IllegalArgumentException if it has no event bus; the previous one is still followed
     */
    public void reload(NodeConfig newConfig) {
        if (newConfig.busAddress() == null) {
            throw new IllegalArgumentException("'bus' is missing");
        }
        feed.follow(newConfig.busAddress());
    }

    /**
     * Reads the configuration again without a reload signal: whoever moved the bus has written the new address to the file,
     * but the signal may have been lost or never sent.
     */
    private void reloadIfChanged() {
        try {
            changedConfig.get().ifPresent(newConfig -> {
                reload(newConfig);
                LOG.log(Level.INFO, "configuration read again without a signal: the event bus is unreachable");
            });
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "the event bus can''t be reached, and the changed configuration is invalid: {0}",
                    e.getMessage());
        }
    }

    /** Whether the list would show by now that a server has begun to drain; without an event bus the list never changes. */
    private boolean isListCurrent() {
        return discovery.isPresent() ? discovery.get().isCurrent() : feed.isCurrent();
    }

    /** Completed once the list is what the event bus had at the start, or at once if there is no event bus. */
    public CompletableFuture<Void> initialSync() {
        return feed.initialSync();
    }

    public CallController controller() {
        return controller;
    }

    /** Creates the state machine for a connection that a client has opened. */
    public Protocol accept() {
        return new ClientSession(controller, limits, scheduler, clientLog, isReady);
    }
}
