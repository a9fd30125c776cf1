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

/** This process as a member of a group. Confined to the event loop thread unless stated otherwise. */
public final class GroupNode {

    private static final Logger LOG = System.getLogger("group");
    private static final int NONCE_BYTES = 16;
    /**
     * The limit for connections from members and voters: a group has 120 of them, and each opens one connection to each
     * other.
     */
    private static final int MAX_CONNECTIONS = 1024;
    /** Room for a snapshot of a shard, at hundreds of thousands of calls, to a member that reads slowly. */
    private static final long MAX_UNWRITTEN_BYTES = 64L << 20;
    private static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(1);

    private final GroupFile file;
    private final Network network;
    private final Scheduler scheduler;
    private final Handover handover;
    private KeyRing keys;
    private String lastLogged = "";

    /**
     * Does not start anything yet.
     *
     * @throws IllegalArgumentException if the keys are invalid or a class is not in the settings
     */
    public GroupNode(GroupFile file, String ownName, Settings settings, Network network, Scheduler scheduler) {
        this.file = file;
        this.network = network;
        this.scheduler = scheduler;
        this.keys = file.readKeys();
        String name = file.name().isEmpty() ? ownName : file.name();
        SecureRandom random = new SecureRandom();
        AuthenticatedLink.Context linkContext = new AuthenticatedLink.Context(name, () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, scheduler, new RateLimitedLog("group", scheduler));
        Set<Integer> synchronousClasses = new HashSet<>();
        for (String callClass : file.synchronousClasses()) {
            if (settings.indexOfClass(callClass) < 0) {
                throw new IllegalArgumentException("'records.wait-for-cover' names the class '" + callClass
                        + "', which is not in the settings");
            }
            synchronousClasses.add(settings.indexOfClass(callClass));
        }
        handover = new Handover(
                new HandoverSettings(name, file.address(), file.replicaCount(), file.lease(), file.batchWindow(),
                        synchronousClasses, file.maxAnswerDelay(), file.adoptionsPerSecond(), file.orphanTimeout(),
                        settings.rules().retryDelay()),
                random.nextLong(),
                file.voters(), network.connector(MAX_UNWRITTEN_BYTES), linkContext, System::nanoTime);
    }

    /** The replication that the core notifies of each call's state. */
    public CallReplication replication() {
        return handover;
    }

    /**
     * Starts to accept connections of other members. Called off the event loop thread.
     *
     * @throws IllegalArgumentException if the address is invalid
     */
    public void listen() {
        InetSocketAddress bound = network.listen(file.listen(), handover::accept, MAX_CONNECTIONS, MAX_UNWRITTEN_BYTES);
        LOG.log(Level.INFO, "listening for members on {0}", bound);
    }

    /** Starts the membership for this controller. */
    public void start(CallController controller) {
        handover.start(controller);
        logState();
    }

    /** Logs the state whenever it has changed. */
    private void logState() {
        String state = handover.summary();
        if (!state.equals(lastLogged)) {
            lastLogged = state;
            LOG.log(Level.INFO, "state: {0}", state);
        }
        scheduler.after(STATE_LOG_INTERVAL, this::logState);
    }

    /** Reloads the keys; if the new ones are invalid, the old ones stay in use. */
    public void reload() {
        try {
            keys = file.readKeys();
            LOG.log(Level.INFO, "keys reloaded: {0}", Integer.toString(keys.keys().size()));
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "keys not reloaded, keeping the old ones: {0}", e.getMessage());
        }
    }

    /** Leaves the group gracefully: hands over what is left, then runs {@code done}. */
    public void leave(Runnable done) {
        handover.leave(done);
    }
}
