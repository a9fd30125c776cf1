package pathlane.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.relay.ProgramFile.RelayFile;
import pathlane.relay.ProgramFile.SourceFile;
import pathlane.transport.RateLimitedLog;

/** A running source or relay: its event loop, sockets, keys, status log and graceful shutdown. */
final class PublisherProgram {

    private static final Logger LOG = System.getLogger("relay");
    private static final int NONCE_BYTES = 16;
    /** Maximum frame size of a link: a single change of a service with tens of thousands of endpoints. */
    private static final long MAX_FRAME_BYTES = 4L << 20;
    private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(20);
    /** How long shutdown waits for pending writes and for subscribers to close their connections. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(500);

    private final ProgramFile file;
    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final Role role;
    private final StatusLog statusLog;
    private KeyRing keys;

    /**
     * Reads the files that the configuration names and starts nothing yet. A source's epoch is durable once this returns.
     *
     * @throws IllegalArgumentException if a file is invalid
     */
    PublisherProgram(ProgramFile file) {
        this.file = file;
        this.keys = file.common().readKeys();
        SecureRandom random = new SecureRandom();
        AuthenticatedLink.Context context = new AuthenticatedLink.Context(file.common().name(), () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, loop, new RateLimitedLog("discovery", loop));
        this.role = file instanceof SourceFile source ? new SourceRole(source, context, network, loop, random)
                : new RelayRole((RelayFile) file, context, network.connector(maxUnwrittenBytes()), loop, random);
        this.statusLog = new StatusLog(role, loop);
    }

    /** Maximum unwritten bytes of a connection: the publisher's unacknowledged limit, and room for one more change. */
    private long maxUnwrittenBytes() {
        return file.common().terms().unacknowledgedBytes() + 2 * MAX_FRAME_BYTES;
    }

    /**
     * Listens and starts the role. Not to be called on the event loop's thread.
     *
     * @throws IllegalArgumentException if the address cannot be bound
     */
    void start() {
        InetSocketAddress bound;
        try {
            // More connections than the publisher accepts, so that it can refuse a watch with a retry delay.
            int maxConnections = file.common().terms().subscribers() * 2;
            bound = network.listen(file.common().listen(), role::accept, maxConnections, maxUnwrittenBytes());
        } catch (IllegalArgumentException e) {
            loop.close();
            throw e;
        }
        LOG.log(Level.INFO, "{0} {1} serves on {2}", role.title(), file.common().name(), bound);
        loop.execute(() -> {
            role.start();
            statusLog.start();
        });
    }

    /** Reloads keys and content files; an invalid file leaves everything unchanged. Callable from any thread. */
    void reload() {
        loop.execute(() -> {
            try {
                KeyRing reloadedKeys = file.common().readKeys();
                role.reload();
                keys = reloadedKeys;
                LOG.log(Level.INFO, "files reloaded: {0} keys", Integer.toString(reloadedKeys.keys().size()));
            } catch (IllegalArgumentException e) {
                LOG.log(Level.WARNING, "files not reloaded, keeping the old content and keys: {0}", e.getMessage());
            }
        });
    }

    /** Closes all connections gracefully, then runs the callback on the event loop. Callable from any thread. */
    void shutDown(Runnable onClosed) {
        loop.execute(() -> {
            LOG.log(Level.INFO, "asked to end: {0} subscribers are connected",
                    Integer.toString(role.publisher().counters().subscribers()));
            role.stop();
            network.closeAcceptedConnections();
            awaitConnectionsClosed(loop.now().plus(SHUTDOWN_TIMEOUT), () -> {
                LOG.log(Level.INFO, "ended: {0}", statusLog.line());
                onClosed.run();
            });
        });
    }

    private void awaitConnectionsClosed(Instant deadline, Runnable next) {
        if (network.areAcceptedConnectionsClosed() || !loop.now().isBefore(deadline)) {
            next.run();
        } else {
            loop.after(SHUTDOWN_POLL_INTERVAL, () -> awaitConnectionsClosed(deadline, next));
        }
    }
}
