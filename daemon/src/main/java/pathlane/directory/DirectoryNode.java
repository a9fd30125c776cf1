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

/** This controller as a subscriber: its watch of the services that its calls need. On the loop's thread. */
public final class DirectoryNode implements ServerDiscovery {

    private static final Logger LOG = System.getLogger("discovery");
    private static final int NONCE_BYTES = 16;

    private final DiscoveryFile file;
    private final Connector dialer;
    private final Scheduler scheduler;
    private final SecureRandom random = new SecureRandom();
    private final OnDemandWatches watches;
    private KeyRing keys;
    private CallController controller;
    private ServerListFeed feed;
    private WatchClient client;

    /**
     * Dials nothing yet.
     *
     * @throws IllegalArgumentException with a sentence where the keys can't be used
     */
    public DirectoryNode(DiscoveryFile file, Connector dialer, Scheduler scheduler) {
        this.file = file;
        this.dialer = dialer;
        this.scheduler = scheduler;
        this.keys = file.readKeys();
        this.watches = new OnDemandWatches(scheduler, new Watches());
    }

    /** Begins, for this controller; before its first call. */
    public void start(CallController started) {
        controller = started;
        feed = new ServerListFeed(controller, watches);
        AuthenticatedLink.Context common =
                new AuthenticatedLink.Context(file.watch().name(), () -> keys, this::nonce, scheduler,
                        new RateLimitedLog("discovery", scheduler));
        client = new WatchClient(file.watch(), dialer, common, scheduler, random, feed);
        client.start();
    }

    private byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /** Ends the watch; the servers that are known stay. */
    public void stop() {
        client.stop();
    }

    /** Reads the keys again; those that can't be used change nothing. */
    public void reload() {
        try {
            keys = file.readKeys();
            LOG.log(Level.INFO, "keys read again: {0}", Integer.toString(keys.keys().size()));
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "keys not read again, the old ones stay: {0}", e.getMessage());
        }
    }

    @Override
    public boolean isCurrent() {
        return client.status().filter(PublisherStatus::complete).filter(status -> status.staleFor().isZero()).isPresent();
    }

    @Override
    public Optional<String> serviceOf(CallRequest setUp) {
        return file.serviceOf(setUp.preferredPool());
    }

    @Override
    public boolean requireService(String service) {
        return watches.use(service);
    }

    @Override
    public void awaitService(String service, Duration atMost, Runnable known, Consumer<Duration> unknown) {
        watches.await(service, atMost, known, unknown);
    }

    private final class Watches implements OnDemandWatches.Actions {

        @Override
        public void watch(String service) {
            client.watch(service);
        }

        @Override
        public boolean unwatch(String service) {
            if (!controller.forgetService(service)) {
                return false;   // calls of it are open or stand
            }
            feed.forget(service);
            client.unwatch(service);
            LOG.log(Level.INFO, "{0} is not in use, and not watched any more", service);
            return true;
        }
    }
}
