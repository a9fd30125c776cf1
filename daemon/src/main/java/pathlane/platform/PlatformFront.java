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
import pathlane.config.file.CallerLimits;
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

/** The platform's front of a call controller: callers, session servers and the event bus. */
public final class PlatformFront {

    private static final Logger LOG = System.getLogger("bus");

    private final CallController controller;
    private final BooleanSupplier ready;
    private final BusFeed feed;
    private final Optional<ServerDiscovery> discovery;
    private final CallerLimits limits;
    private final Scheduler scheduler;
    private final RateLimitedLog callerLog;
    private final Supplier<Optional<NodeConfig>> changed;

    /**
     * Starts with the events that the configuration holds; {@code ready} is asked at each test.
     *
     * @param changed the configuration as it is now, where it has changed since it was last read; it throws an
     *                IllegalArgumentException with a sentence where what it has changed to can't be used. Asked on the
     *                loop, once a second at the most, while the event bus can't be reached
     */
    public PlatformFront(NodeConfig config, Connector dialer, Scheduler scheduler, BooleanSupplier ready,
            Supplier<Optional<NodeConfig>> changed) {
        this(config, dialer, scheduler, ready, changed, CallReplication.NONE);
    }

    /** The same with what keeps calls elsewhere. */
    public PlatformFront(NodeConfig config, Connector dialer, Scheduler scheduler, BooleanSupplier ready,
            Supplier<Optional<NodeConfig>> changed, CallReplication replication) {
        this(config, dialer, scheduler, ready, changed, replication, Optional.empty());
    }

    /** The same with discovery, where there is any, in place of the event bus and of the events in the configuration. */
    public PlatformFront(NodeConfig config, Connector dialer, Scheduler scheduler, BooleanSupplier ready,
            Supplier<Optional<NodeConfig>> changed, CallReplication replication,
            Optional<ServerDiscovery> discovery) {
        this.discovery = discovery;
        this.ready = ready;
        this.changed = changed;
        this.limits = config.callers();
        this.scheduler = scheduler;
        this.callerLog = new RateLimitedLog("callers", scheduler);
        SplittableRandom random = new SplittableRandom(config.seed());
        Instant startedAt = scheduler.now();
        ConnectionLimiter servers = new ConnectionLimiter(config.descriptors().servers());
        ServerLinkContext context = new ServerLinkContext(config.settings(), ServerLimits.USUAL, this::controller,
                this::isListCurrent, dialer, scheduler, servers,
                new ReportPeriod(ServerLimits.USUAL.lines(), ServerLimits.USUAL.linesFirst()), random, startedAt);
        controller = new CallController(config.settings(), config.seed(), scheduler,
                line -> new ServerLink(line, context), replication,
                discovery.<ServiceDirectory>map(one -> one).orElse(ServiceDirectory.ONE));
        if (discovery.isEmpty()) {
            KnownEvents.read(config).forEach(event -> controller.updateServers(event.whole(), event.lines()));
        }
        feed = new BusFeed(config.knownOffset(), dialer, scheduler, random.split(),
                event -> controller.updateServers(event.whole(), event.lines()), this::busUnreachable);
        if (config.bus() != null && discovery.isEmpty()) {
            feed.follow(config.bus());
        } else {
            feed.current().complete(null);
        }
    }

    /**
     * The configuration was read again: the event bus is followed where it names it now. All else is told once, at
     * the start.
     *
     * @throws IllegalArgumentException where it names none; the old one is followed on
     */
    public void reload(NodeConfig fresh) {
        if (fresh.bus() == null) {
            throw new IllegalArgumentException("'bus' is missing");
        }
        feed.follow(fresh.bus());
    }

    /**
     * Guards against a reload that never came: whoever moved the bus wrote the new address to the file, and the signal
     * for it may be lost, or the operator with it.
     */
    private void busUnreachable() {
        try {
            changed.get().ifPresent(fresh -> {
                reload(fresh);
                LOG.log(Level.INFO, "configuration read again, unasked: the event bus can't be reached where it was");
            });
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "the event bus can''t be reached, and a new configuration can''t be used: {0}",
                    e.getMessage());
        }
    }

    /** Whether a server that drains would be known by now; where there is no bus, the list never changes. */
    private boolean isListCurrent() {
        return discovery.isPresent() ? discovery.get().isCurrent() : feed.isCurrent();
    }

    /** Done once the list is what the event bus had at the start, or where there is no bus. */
    public CompletableFuture<Void> current() {
        return feed.current();
    }

    public CallController controller() {
        return controller;
    }

    /** The state machine for a connection that callers have opened. */
    public Protocol accept() {
        return new CallerSession(controller, limits, scheduler, callerLog, ready);
    }
}
