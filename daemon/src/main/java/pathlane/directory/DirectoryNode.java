package pathlane.directory;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.Scheduler;
import pathlane.discovery.OnDemandWatches;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.WatchClient;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.platform.ServerDiscovery;
import pathlane.transport.Connector;
import pathlane.transport.RateLimitedLog;

/** This controller as a discovery subscriber: watches the services that its calls need. Runs on the event loop's thread. */
public final class DirectoryNode implements ServerDiscovery {

    private static final Logger LOG = System.getLogger("discovery");
    private static final int NONCE_BYTES = 16;

    private final DiscoveryFile file;
    private final Connector connector;
    private final Scheduler scheduler;
    private final SecureRandom random = new SecureRandom();
    private final OnDemandWatches watches;
    private KeyRing keys;
    private CallController controller;
    private ServerListFeed feed;
    private WatchClient client;

    /**
     * Reads the keys; opens no connection yet.
     *
     * @throws IllegalArgumentException with a one-line message if the keys are invalid
     */
    public DirectoryNode(DiscoveryFile file, Connector connector, Scheduler scheduler) {
        this.file = file;
        this.connector = connector;
        this.scheduler = scheduler;
        this.keys = file.readKeys();
        this.watches = new OnDemandWatches(scheduler, new WatchActions());
    }

    /** Starts the watch for this controller; must precede its first call. */
    public void start(CallController callController) {
        controller = callController;
        feed = new ServerListFeed(controller, watches);
        AuthenticatedLink.Context linkContext =
                new AuthenticatedLink.Context(file.watch().name(), () -> keys, this::nonce, scheduler,
                        new RateLimitedLog("discovery", scheduler));
        client = new WatchClient(file.watch(), connector, linkContext, scheduler, random, feed);
        client.start();
    }

    private byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /** Ends the watch; the known servers remain in use. */
    public void stop() {
        client.stop();
    }

    /** Reloads the keys; invalid ones change nothing. */
    public void reload() {
        try {
            keys = file.readKeys();
            LOG.log(Level.INFO, "keys reloaded: {0}", Integer.toString(keys.keys().size()));
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "keys not reloaded, keeping the old ones: {0}", e.getMessage());
        }
    }

    @Override
    public boolean isCurrent() {
        return client.status().filter(PublisherStatus::complete).filter(status -> status.staleFor().isZero()).isPresent();
    }

    @Override
    public Optional<String> serviceOf(CallRequest request) {
        return file.serviceOf(request.preferredPool());
    }

    @Override
    public boolean requireService(String service) {
        return watches.recordUse(service);
    }

    @Override
    public void awaitService(String service, Duration maxWait, Runnable onKnown, Consumer<Duration> onUnknown) {
        watches.await(service, maxWait, onKnown, onUnknown);
    }

    private final class WatchActions implements OnDemandWatches.Actions {

        @Override
        public void watch(String service) {
            client.watch(service);
        }

        @Override
        public boolean unwatch(String service) {
            if (!controller.forgetService(service)) {
                return false;   // it has open or established calls
            }
            feed.forget(service);
            client.unwatch(service);
            LOG.log(Level.INFO, "{0} is not in use and no longer watched", service);
            return true;
        }
    }
}
