package pathlane.handover;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.group.Member;
import pathlane.group.RegistryAccess;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.wire.ProtocolException;

/**
 * The connections between members, opened on demand: one from each member to each that it sends to. Each message names the
 * leases of its sender and of its receiver. A receiver that does not hold that lease drops the message, so that a restarted
 * process does not act on messages for its predecessor. Confined to the event loop thread.
 */
final class PeerConnections implements ReplicationLog.Transport {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    /** Limits for messages that are queued until a connection is up: their number, and how long each is kept. */
    private static final int MAX_QUEUED_MESSAGES = 2_000;
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(1);

    /** Receives connection events and messages. */
    interface Handler {
        /** A connection to this member is up; nothing was sent on it yet. */
        void connected(long member);

        /** {@code stream} numbers the connection; {@code reply} sends an answer on it. */
        void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> reply);
    }

    private record QueuedMessage(byte[] message, Instant expiresAt) {}

    private final Connector connector;
    private final AuthenticatedLink.Context linkContext;
    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final LongSupplier ownToken;
    private Handler handler;
    private final Map<Long, OutgoingConnection> outgoing = new HashMap<>();
    private Set<Long> requiredMembers = Set.of();
    private long lastStream;
    private boolean isStopped;

    /** {@code ownToken} is the token of the current lease, 0 while there is none. */
    PeerConnections(Connector connector, AuthenticatedLink.Context linkContext, RegistryAccess registry,
            LongSupplier ownToken) {
        this.connector = connector;
        this.linkContext = linkContext;
        this.scheduler = linkContext.scheduler();
        this.registry = registry;
        this.ownToken = ownToken;
    }

    /** Sets the receiver of messages; called before any connection is opened. */
    void setHandler(Handler receiver) {
        handler = receiver;
    }

    @Override
    public boolean isConnected(long member) {
        OutgoingConnection connection = outgoing.get(member);
        return connection != null && connection.link.isAuthenticated();
    }

    /** Keeps connections to these members open from now on; others are closed once nothing was sent on them for a while. */
    @Override
    public void keepConnectedTo(Set<Long> members) {
        requiredMembers = new HashSet<>(members);
        requiredMembers.forEach(this::openConnection);
        outgoing.forEach((member, connection) -> {
            if (!requiredMembers.contains(member)) {
                connection.closeIfUnused();
            }
        });
    }

    private Optional<OutgoingConnection> openConnection(long member) {
        OutgoingConnection existing = outgoing.get(member);
        if (existing != null || isStopped) {
            return Optional.ofNullable(existing);
        }
        Optional<Member> peer = registry.registry().member(member);
        if (peer.isEmpty()) {
            return Optional.empty();
        }
        OutgoingConnection connection = new OutgoingConnection(peer.get());
        outgoing.put(member, connection);
        connection.connect();
        return Optional.of(connection);
    }

    /** Sends at once, or once the connection is up, if that is soon enough. */
    @Override
    public void send(long member, PeerMessage message) {
        openConnection(member).ifPresent(connection -> connection.send(envelope(member, message)));
    }

    private byte[] envelope(long to, PeerMessage message) {
        byte[] bytes = PeerCodec.encode(message);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(ownToken.getAsLong()).packLong(to).packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // never thrown: the buffer is in memory
        }
    }

    /** Returns the protocol state machine for a connection that another member has opened. */
    Protocol accept() {
        return new IncomingConnection().link;
    }

    /** Closes all connections. */
    void stop() {
        isStopped = true;
        List.copyOf(outgoing.values()).forEach(connection -> connection.link.close(CloseReason.DISCONNECTED));
    }

    private void dispatch(byte[] payload, long stream, AuthenticatedLink link) {
        long from;
        PeerMessage message;
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            from = unpacker.unpackLong();
            long to = unpacker.unpackLong();
            if (to != ownToken.getAsLong()) {
                return;   // addressed to an earlier lease
            }
            message = PeerCodec.decode(unpacker.readPayload(unpacker.unpackBinaryHeader()));
        } catch (IOException | MessagePackException e) {
            throw new ProtocolException("malformed message from a member: " + e.getMessage());
        }
        handler.received(from, stream, message, reply -> link.send(envelope(from, reply)));
    }

    private final class OutgoingConnection implements AuthenticatedLink.Listener {

        private final Member member;
        private final List<QueuedMessage> queued = new ArrayList<>();
        private final long stream = ++lastStream;
        private AuthenticatedLink link = new AuthenticatedLink(linkContext, true, this);
        private Instant lastUsedAt = scheduler.now();

        OutgoingConnection(Member member) {
            this.member = member;
        }

        void connect() {
            if (!registry.registry().isLive(member.token()) || isStopped) {
                outgoing.remove(member.token(), this);
                return;
            }
            link = new AuthenticatedLink(linkContext, true, this);
            int colon = member.address().lastIndexOf(':');
            connector.connect(new InetSocketAddress(member.address().substring(0, colon),
                    Integer.parseInt(member.address().substring(colon + 1))), CONNECT_TIMEOUT, link);
        }

        void send(byte[] message) {
            lastUsedAt = scheduler.now();
            if (link.isAuthenticated()) {
                link.send(message);
            } else {
                queued.removeIf(entry -> entry.expiresAt.isBefore(lastUsedAt));
                if (queued.size() < MAX_QUEUED_MESSAGES) {
                    queued.add(new QueuedMessage(message, lastUsedAt.plus(QUEUE_TIMEOUT)));
                }
            }
        }

        void closeIfUnused() {
            scheduler.after(IDLE_TIMEOUT, () -> {
                if (!requiredMembers.contains(member.token()) && outgoing.get(member.token()) == this) {
                    if (lastUsedAt.plus(IDLE_TIMEOUT).isAfter(scheduler.now())) {
                        closeIfUnused();
                    } else {
                        outgoing.remove(member.token(), this);
                        link.close(CloseReason.IDLE);
                    }
                }
            });
        }

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String name) {
            if (!name.equals(member.name())) {
                throw new ProtocolException("peer authenticated as " + name + ", expected " + member.name());
            }
            handler.connected(member.token());
            Instant now = scheduler.now();
            queued.stream().filter(entry -> !entry.expiresAt.isBefore(now)).forEach(entry -> link.send(entry.message));
            queued.clear();
        }

        @Override
        public void received(byte[] payload) {
            dispatch(payload, stream, link);
        }

        @Override
        public void closed(CloseReason reason) {
            if (outgoing.get(member.token()) != this) {
                return;
            }
            LOG.log(Level.DEBUG, "connection to {0} closed: {1}", member.name(), reason);
            scheduler.after(RECONNECT_DELAY, this::connect);
        }
    }

    private final class IncomingConnection implements AuthenticatedLink.Listener {

        private final long stream = ++lastStream;
        private final AuthenticatedLink link = new AuthenticatedLink(linkContext, false, this);

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String name) {
            // Nothing to do: each message names its sender.
        }

        @Override
        public void received(byte[] payload) {
            dispatch(payload, stream, link);
        }

        @Override
        public void closed(CloseReason reason) {
            // The other side reconnects.
        }
    }
}
