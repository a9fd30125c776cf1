package pathlane.platform;

import java.time.Instant;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import pathlane.bus.BusFeed;
import pathlane.config.file.CallerLimits;
import pathlane.config.file.NodeConfig;
import pathlane.config.file.ServerLimits;
import pathlane.core.CallController;
import pathlane.core.Scheduler;
import pathlane.link.Admission;
import pathlane.link.Dialer;
import pathlane.link.LimitedLog;
import pathlane.link.Protocol;

/** The platform's front of a call controller: callers, session servers and the event bus. */
public final class PlatformFront {

    private final CallController controller;
    private final BooleanSupplier ready;
    private final BusFeed feed;
    private final CallerLimits limits;
    private final Scheduler scheduler;
    private final LimitedLog callerLog;

    /** Starts with the events that the configuration holds; {@code ready} is asked at each test. */
    public PlatformFront(NodeConfig config, Dialer dialer, Scheduler scheduler, BooleanSupplier ready) {
        this.ready = ready;
        this.limits = config.callers();
        this.scheduler = scheduler;
        this.callerLog = new LimitedLog("callers", scheduler);
        SplittableRandom random = new SplittableRandom(config.seed());
        Instant startedAt = scheduler.now();
        Admission servers = new Admission(config.descriptors().servers());
        controller = new CallController(config.settings(), config.seed(), scheduler,
                line -> new ServerLink(line, config.settings(), ServerLimits.USUAL, this::controller, dialer, scheduler,
                        servers, random, startedAt));
        KnownEvents.read(config).forEach(event -> controller.listed(event.whole(), event.lines()));
        feed = new BusFeed(config.knownOffset(), dialer, scheduler, random.split(),
                event -> controller.listed(event.whole(), event.lines()));
        if (config.bus() != null) {
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
