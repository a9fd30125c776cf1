package pathlane.group;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connector;
import pathlane.wire.ProtocolException;

/**
 * A member's client of the registry: one connection to the leading voter, found by trying one voter after the other. It
 * submits commands there and follows the registry in a local replica. Confined to the event loop's thread.
 *
 * <p>Messages are MessagePack. To a voter: {@code REQUEST id command}. From it: {@code REPLY id reply}, {@code NOT_LEADER}
 * if it does not lead, {@code SNAPSHOT index registry}, {@code APPLIED index command} for each later command except
 * renewals, and {@code HEARTBEAT index} at a fixed interval.
 */
public final class RegistryClient implements RegistryAccess {

    private static final Logger LOG = System.getLogger("group");
    static final int REQUEST = 1;
    static final int REPLY = 2;
    static final int NOT_LEADER = 3;
    static final int SNAPSHOT = 4;
    static final int APPLIED = 5;
    static final int HEARTBEAT = 6;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration NEXT_VOTER_DELAY = Duration.ofMillis(100);
    /** A leader sends five heartbeats in this time. */
    static final Duration LEADER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final List<InetSocketAddress> voters;
    private final Connector connector;
    private final Scheduler scheduler;
    private final AuthenticatedLink.Context context;
    private final Runnable onChange;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private LeaseRegistry registry = new LeaseRegistry();
    private long appliedIndex = -1;
    private long lastRequestId;
    private int voterIndex;
    private Session session;
    private boolean isStopped;

    private record PendingRequest(Consumer<Optional<Reply>> onReply, Scheduler.Timer timer) {}

    /**
     * Creates a client without a connection; {@link #start} connects.
     *
     * @param onChange run after each change of the local replica of the registry
     */
    public RegistryClient(List<InetSocketAddress> voters, Connector connector, AuthenticatedLink.Context context,
            Runnable onChange) {
        this.voters = List.copyOf(voters);
        this.connector = connector;
        this.scheduler = context.scheduler();
        this.context = context;
        this.onChange = onChange;
    }

    /** Starts to connect to the voters in turn until one leads. */
    public void start() {
        connect();
    }

    /** Closes the connection for good; later commands get no reply. */
    public void stop() {
        isStopped = true;
        if (session != null) {
            session.link.close(CloseReason.DISCONNECTED);
        }
    }

    /** Whether the client is connected to a leading voter and follows it. */
    public boolean isConnected() {
        return session != null && session.isFollowing;
    }

    @Override
    public LeaseRegistry registry() {
        return registry;
    }

    @Override
    public void submit(Command command, Consumer<Optional<Reply>> onReply) {
        long id = ++lastRequestId;
        if (!isConnected()) {
            scheduler.after(Duration.ZERO, () -> onReply.accept(Optional.empty()));
            return;
        }
        pendingRequests.put(id,
                new PendingRequest(onReply, scheduler.after(REQUEST_TIMEOUT, () -> completeRequest(id, Optional.empty()))));
        byte[] bytes = RegistryCodec.encode(command);
        session.link.send(RegistryCodec.pack(packer -> {
            packer.packInt(REQUEST).packLong(id).packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        }));
    }

    private void completeRequest(long id, Optional<Reply> reply) {
        PendingRequest request = pendingRequests.remove(id);
        if (request != null) {
            request.timer.cancel();
            request.onReply.accept(reply);
        }
    }

    private void connect() {
        if (!isStopped) {
            session = new Session();
            connector.connect(voters.get(voterIndex), CONNECT_TIMEOUT, session.link);
        }
    }

    static byte[] binary(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    static void binary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private final class Session implements AuthenticatedLink.Listener {

        private final AuthenticatedLink link = new AuthenticatedLink(context, true, this);
        private boolean isFollowing;
        private Scheduler.Timer leaderTimer;

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String name) {
            restartLeaderTimer();
        }

        private void restartLeaderTimer() {
            if (leaderTimer != null) {
                leaderTimer.cancel();
            }
            leaderTimer = scheduler.after(LEADER_TIMEOUT, () -> link.close(CloseReason.SILENT));
        }

        @Override
        public void received(byte[] payload) {
            restartLeaderTimer();
            RegistryCodec.decode(payload, unpacker -> {
                received(unpacker);
                return null;
            });
        }

        private void received(MessageUnpacker unpacker) throws IOException {
            int kind = unpacker.unpackInt();
            switch (kind) {
                case REPLY ->
                    completeRequest(unpacker.unpackLong(), Optional.of(RegistryCodec.decodeReply(binary(unpacker))));
                case NOT_LEADER -> link.close(CloseReason.DISCONNECTED);
                case SNAPSHOT -> {
                    long snapshotIndex = unpacker.unpackLong();
                    if (snapshotIndex < appliedIndex) {
                        link.close(CloseReason.OVERTAKEN);   // a former leader that has not noticed that it is behind
                        return;
                    }
                    registry = RegistryCodec.decodeRegistry(binary(unpacker));
                    appliedIndex = snapshotIndex;
                    if (!isFollowing) {
                        LOG.log(Level.INFO, "connected to the voter at {0}, which leads the registry",
                                voters.get(voterIndex));
                    }
                    isFollowing = true;
                    onChange.run();
                }
                case APPLIED -> {
                    appliedIndex = unpacker.unpackLong();
                    registry.apply(RegistryCodec.decodeCommand(binary(unpacker)));
                    onChange.run();
                }
                case HEARTBEAT -> {}
                default -> throw new ProtocolException("unknown message kind " + kind + " from a voter");
            }
        }

        @Override
        public void closed(CloseReason reason) {
            if (leaderTimer != null) {
                leaderTimer.cancel();
            }
            if (session != this) {
                return;
            }
            if (isFollowing) {
                LOG.log(Level.WARNING, "the voter at {0}, which led the registry, is lost: {1}", voters.get(voterIndex),
                        reason);
            }
            isFollowing = false;
            List.copyOf(pendingRequests.keySet()).forEach(id -> completeRequest(id, Optional.empty()));
            voterIndex = (voterIndex + 1) % voters.size();
            scheduler.after(NEXT_VOTER_DELAY, RegistryClient.this::connect);
        }
    }
}
