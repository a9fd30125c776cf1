package pathlane.takeover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import pathlane.config.Settings;
import pathlane.core.CallController;
import pathlane.core.CallReplication;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.handover.Handover;
import pathlane.handover.HandoverSettings;
import pathlane.net.Network;
import pathlane.transport.RateLimitedLog;

/** This process as a member of a group. On the loop's thread, but for what says otherwise. */
public final class GroupNode {

    private static final Logger LOG = System.getLogger("group");
    private static final int NONCE_BYTES = 16;
    /** Members and voters that may be connected: a group has 120, and each has one connection from each. */
    private static final int MOST_CONNECTIONS = 1024;
    /** A slot whole, at hundreds of thousands of calls, to a member that reads slowly. */
    private static final long MOST_UNWRITTEN = 64L << 20;
    private static final Duration SAYS = Duration.ofSeconds(1);

    private final GroupFile file;
    private final Network network;
    private final Scheduler scheduler;
    private final Handover handover;
    private KeyRing keys;
    private String lastLogged = "";

    /**
     * Starts nothing yet.
     *
     * @throws IllegalArgumentException with a sentence where the keys can't be used, or a class is not in the settings
     */
    public GroupNode(GroupFile file, String ownName, Settings settings, Network network, Scheduler scheduler) {
        this.file = file;
        this.network = network;
        this.scheduler = scheduler;
        this.keys = file.readKeys();
        String name = file.name().isEmpty() ? ownName : file.name();
        SecureRandom random = new SecureRandom();
        AuthenticatedLink.Context common = new AuthenticatedLink.Context(name, () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, scheduler, new RateLimitedLog("group", scheduler));
        Set<Integer> waiting = new HashSet<>();
        for (String one : file.waiting()) {
            if (settings.indexOfClass(one) < 0) {
                throw new IllegalArgumentException("'records.wait-for-cover' names the class '" + one
                        + "', which is not in the settings");
            }
            waiting.add(settings.indexOfClass(one));
        }
        handover = new Handover(
                new HandoverSettings(name, file.address(), file.copies(), file.lease(), file.window(), waiting,
                        file.waitMost(), file.pace(), file.orphans(), settings.rules().retryDelay()),
                random.nextLong(),
                file.voters(), network.dialer(MOST_UNWRITTEN), common, System::nanoTime);
    }

    /** What the core tells of each call's life. */
    public CallReplication replication() {
        return handover;
    }

    /**
     * Listens for other members, and begins. Off the loop's thread.
     *
     * @throws IllegalArgumentException where the address can't be had
     */
    public void listen() {
        InetSocketAddress bound = network.listen(file.listen(), handover::accept, MOST_CONNECTIONS, MOST_UNWRITTEN);
        LOG.log(Level.INFO, "members come to {0}", bound);
    }

    /** Begins, for this controller. */
    public void start(CallController controller) {
        handover.start(controller);
        say();
    }

    /** Says how things stand, whenever that has changed. */
    private void say() {
        String line = handover.summary();
        if (!line.equals(lastLogged)) {
            lastLogged = line;
            LOG.log(Level.INFO, "stands at: {0}", line);
        }
        scheduler.after(SAYS, this::say);
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

    /** A planned end: hands over what is left, then runs this. */
    public void leave(Runnable done) {
        handover.leave(done);
    }
}
