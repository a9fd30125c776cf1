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

/** A running source or relay: its event loop, its sockets, its keys, its log, and an orderly end. */
final class PublisherProgram {

    private static final Logger LOG = System.getLogger("relay");
    private static final int NONCE_BYTES = 16;
    /** The longest frame of a link: one change of a service with tens of thousands of endpoints. */
    private static final long LONGEST_FRAME = 4L << 20;
    private static final Duration END_CHECK = Duration.ofMillis(20);
    /** What was written last and the subscribers' own closes are waited for so long. */
    private static final Duration LAST_WORDS = Duration.ofMillis(500);

    private final ProgramFile file;
    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final Role role;
    private final StatusLog statusLog;
    private KeyRing keys;

    /**
     * Reads what the file names and starts nothing yet. A source has its epoch on the disk once this returns.
     *
     * @throws IllegalArgumentException with a sentence where something can't be used
     */
    PublisherProgram(ProgramFile file) {
        this.file = file;
        this.keys = file.common().readKeys();
        SecureRandom random = new SecureRandom();
        AuthenticatedLink.Context common = new AuthenticatedLink.Context(file.common().name(), () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, loop, new RateLimitedLog("discovery", loop));
        this.role = file instanceof SourceFile source ? new SourceRole(source, common, network, loop, random)
                : new RelayRole((RelayFile) file, common, network.dialer(mostUnwritten()), loop, random);
        this.statusLog = new StatusLog(role, loop);
    }

    /** What may wait for one connection: what the publisher lets be under way, and one change beyond it. */
    private long mostUnwritten() {
        return file.common().terms().unacknowledgedBytes() + 2 * LONGEST_FRAME;
    }

    /**
     * Listens, and begins. Off the loop's thread.
     *
     * @throws IllegalArgumentException with a sentence where the address can't be had
     */
    void start() {
        InetSocketAddress bound;
        try {
            // Some more than the publisher takes, so that it can refuse a watch with a time to come back.
            int most = file.common().terms().subscribers() * 2;
            bound = network.listen(file.common().listen(), role::accept, most, mostUnwritten());
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

    /** Reads keys and content's files again; what can't be used changes nothing. From any thread. */
    void reload() {
        loop.execute(() -> {
            try {
                KeyRing fresh = file.common().readKeys();
                role.reload();
                keys = fresh;
                LOG.log(Level.INFO, "read again: {0} keys", Integer.toString(fresh.keys().size()));
            } catch (IllegalArgumentException e) {
                LOG.log(Level.WARNING, "not read again, all stays as it was: {0}", e.getMessage());
            }
        });
    }

    /** Ends all connections in order and then runs this, on the loop. From any thread. */
    void end(Runnable done) {
        loop.execute(() -> {
            LOG.log(Level.INFO, "asked to end: {0} subscribers are connected",
                    Integer.toString(role.publisher().counters().subscribers()));
            role.stop();
            network.partFromCallers();
            whenParted(loop.now().plus(LAST_WORDS), () -> {
                LOG.log(Level.INFO, "ended: {0}", statusLog.line());
                done.run();
            });
        });
    }

    private void whenParted(Instant until, Runnable next) {
        if (network.hasParted() || !loop.now().isBefore(until)) {
            next.run();
        } else {
            loop.after(END_CHECK, () -> whenParted(until, next));
        }
    }
}
