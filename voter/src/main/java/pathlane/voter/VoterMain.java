package pathlane.voter;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import io.microraft.store.sqlite.RaftSqliteStore;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import pathlane.core.CloseReason;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.group.Voter;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.transport.RateLimitedLog;
import sun.misc.Signal;

/** Runs a voter: {@code java -jar pathlane-voter.jar FILE}. SIGTERM ends it; SIGHUP reloads its keys. */
public final class VoterMain {

    private static final Logger LOG = System.getLogger("register");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);
    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_VOTER_CONNECTIONS = 64;
    private static final long MAX_UNWRITTEN_BYTES = 16L << 20;
    private static final int NONCE_BYTES = 16;

    private final VoterFile file;
    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final RaftCodec codec = new RaftCodec();
    private final Map<String, OutgoingConnection> outgoingConnections = new HashMap<>();
    private final AuthenticatedLink.Context context;
    private KeyRing keys;
    private RaftLog log;

    private VoterMain(VoterFile file) {
        this.file = file;
        this.keys = file.readKeys();
        SecureRandom random = new SecureRandom();
        this.context = new AuthenticatedLink.Context(file.name(), () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, loop, new RateLimitedLog("register", loop));
    }

    /** Runs until the process is terminated; exits with a one-sentence error if the file is invalid. */
    public static void main(String[] args) {
        if (args.length != 1) {
            System.err.println("usage: java -jar pathlane-voter.jar FILE");
            System.exit(2);
        }
        try {
            new VoterMain(VoterFile.read(Path.of(args[0]))).run();
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("pathlane: " + e.getMessage());
            System.exit(1);
        }
    }

    private void run() throws IOException {
        Files.createDirectories(file.storeDirectory());
        RaftSqliteStore store = RaftSqliteStore.create(file.storeDirectory().resolve("raft.db").toFile(),
                new DefaultRaftModelFactory(), codec);
        Voter voter = new Voter(file.lease(), context, System::nanoTime);
        InetSocketAddress voterAddress = file.voters().get(file.name());
        network.listen(voterAddress, () -> new AuthenticatedLink(context, false, new IncomingConnection()),
                MAX_VOTER_CONNECTIONS, MAX_UNWRITTEN_BYTES);
        InetSocketAddress memberAddress =
                network.listen(file.memberAddress(), voter::accept, MAX_MEMBERS, MAX_UNWRITTEN_BYTES);
        loop.execute(() -> {
            file.voters().forEach((name, address) -> {
                if (!name.equals(file.name())) {
                    outgoingConnections.put(name, new OutgoingConnection(name, address));
                }
            });
            outgoingConnections.values().forEach(OutgoingConnection::connect);
            log = new RaftLog(file.name(), new ArrayList<>(file.voters().keySet()), voter, loop, System::nanoTime,
                    new RaftLog.Sender() {
                        @Override
                        public void send(String to, RaftMessage message) {
                            outgoingConnections.get(to).send(message);
                        }

                        @Override
                        public boolean isReachable(String to) {
                            return outgoingConnections.get(to).link.isAuthenticated();
                        }
                    }, store, store.getRestoredRaftState(true), new SecureRandom());
            log.start();
            voter.start(log);
        });
        Signal.handle(new Signal("HUP"), signal -> loop.execute(this::reload));
        LOG.log(Level.INFO, "{0} votes for members on {1}", file.name(), memberAddress);
    }

    private void reload() {
        try {
            keys = file.readKeys();
            LOG.log(Level.INFO, "keys reloaded: {0}", Integer.toString(keys.keys().size()));
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "keys not reloaded, keeping the old ones: {0}", e.getMessage());
        }
    }

    private void handle(byte[] payload) {
        if (log != null) {
            log.received(codec.decodeMessage(payload));
        }
    }

    /** The outgoing connection to another voter; reconnects until it succeeds. */
    private final class OutgoingConnection implements AuthenticatedLink.Listener {

        private final String name;
        private final InetSocketAddress address;
        private AuthenticatedLink link;

        OutgoingConnection(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
            this.link = new AuthenticatedLink(context, true, this);
        }

        void connect() {
            link = new AuthenticatedLink(context, true, this);
            network.connect(address, CONNECT_TIMEOUT, link);
        }

        void send(RaftMessage message) {
            if (link.isAuthenticated()) {
                link.send(codec.encode(message));
            }
        }

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String remoteName) {
            LOG.log(Level.INFO, "connected to voter {0}", name);
        }

        @Override
        public void received(byte[] payload) {
            handle(payload);
        }

        @Override
        public void closed(CloseReason reason) {
            loop.after(RECONNECT_DELAY, this::connect);
        }
    }

    private final class IncomingConnection implements AuthenticatedLink.Listener {

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String remoteName) {
            // Each message names its sender.
        }

        @Override
        public void received(byte[] payload) {
            handle(payload);
        }

        @Override
        public void closed(CloseReason reason) {
            // The other voter reconnects.
        }
    }
}
