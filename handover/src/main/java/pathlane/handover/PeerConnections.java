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
import pathlane.wire.BadInput;

/**
 * The connections between members: one from each to each that it sends to, dialled on demand. Every message says from
 * which lease to which it goes; one to a lease that the receiver does not have is dropped, so that nothing meant for a
 * process is taken by the one that was started in its place. On the loop's thread.
 */
final class PeerConnections implements ReplicationLog.Transport {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration DIAL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REDIAL = Duration.ofMillis(200);
    private static final Duration UNWANTED = Duration.ofSeconds(10);
    /** What waits for a link to come up, at most, and for how long. */
    private static final int MOST_WAITING = 2_000;
    private static final Duration WAITS = Duration.ofSeconds(1);

    /** What comes in. */
    interface Handler {
        /** A link to this member is up, and nothing was sent on it. */
        void up(long member);

        /** {@code stream} numbers the connection; {@code answer} goes back on it. */
        void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> answer);
    }

    private record Waiting(byte[] message, Instant until) {}

    private final Connector dialer;
    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final RegistryAccess registry;
    private final LongSupplier self;
    private Handler handler;
    private final Map<Long, Outgoing> outgoing = new HashMap<>();
    private Set<Long> wanted = Set.of();
    private long streams;
    private boolean stopped;

    /** {@code self} is the token of the present lease, 0 while there is none. */
    PeerConnections(Connector dialer, AuthenticatedLink.Context common, RegistryAccess registry, LongSupplier self) {
        this.dialer = dialer;
        this.common = common;
        this.scheduler = common.scheduler();
        this.registry = registry;
        this.self = self;
    }

    /** What receives the messages from now on; called before any link is opened. */
    void setHandler(Handler receiver) {
        handler = receiver;
    }

    @Override
    public boolean isUp(long member) {
        Outgoing link = outgoing.get(member);
        return link != null && link.link.isAuthenticated();
    }

    /** Links to these are held up from now on; those to others end once nothing was sent on them for a while. */
    @Override
    public void keepConnectedTo(Set<Long> members) {
        wanted = new HashSet<>(members);
        wanted.forEach(this::open);
        outgoing.forEach((member, link) -> {
            if (!wanted.contains(member)) {
                link.endIfUnused();
            }
        });
    }

    private Optional<Outgoing> open(long member) {
        Outgoing there = outgoing.get(member);
        if (there != null || stopped) {
            return Optional.ofNullable(there);
        }
        Optional<Member> known = registry.registry().member(member);
        if (known.isEmpty()) {
            return Optional.empty();
        }
        Outgoing fresh = new Outgoing(known.get());
        outgoing.put(member, fresh);
        fresh.dial();
        return Optional.of(fresh);
    }

    /** Sends now, or once the link is up, if that is soon. */
    @Override
    public void send(long member, PeerMessage message) {
        open(member).ifPresent(link -> link.send(envelope(member, message)));
    }

    private byte[] envelope(long to, PeerMessage message) {
        byte[] bytes = PeerCodec.bytes(message);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(self.getAsLong()).packLong(to).packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // a buffer in memory has none
        }
    }

    /** The state machine for a connection that another member has opened. */
    Protocol accept() {
        return new Incoming().link;
    }

    /** Ends all. */
    void stop() {
        stopped = true;
        List.copyOf(outgoing.values()).forEach(link -> link.link.close(CloseReason.DISCONNECTED));
    }

    private void dispatch(byte[] payload, long stream, AuthenticatedLink link) {
        long from;
        PeerMessage message;
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            from = unpacker.unpackLong();
            long to = unpacker.unpackLong();
            if (to != self.getAsLong()) {
                return;   // for a lease that was
            }
            message = PeerCodec.read(unpacker.readPayload(unpacker.unpackBinaryHeader()));
        } catch (IOException | MessagePackException e) {
            throw new BadInput("not a message of a member: " + e.getMessage());
        }
        handler.received(from, stream, message, answer -> link.send(envelope(from, answer)));
    }

    private final class Outgoing implements AuthenticatedLink.Listener {

        private final Member member;
        private final List<Waiting> waiting = new ArrayList<>();
        private final long stream = ++streams;
        private AuthenticatedLink link = new AuthenticatedLink(common, true, this);
        private Instant used = scheduler.now();

        Outgoing(Member member) {
            this.member = member;
        }

        void dial() {
            if (!registry.registry().isLive(member.token()) || stopped) {
                outgoing.remove(member.token(), this);
                return;
            }
            link = new AuthenticatedLink(common, true, this);
            int colon = member.address().lastIndexOf(':');
            dialer.connect(new InetSocketAddress(member.address().substring(0, colon),
                    Integer.parseInt(member.address().substring(colon + 1))), DIAL_TIMEOUT, link);
        }

        void send(byte[] message) {
            used = scheduler.now();
            if (link.isAuthenticated()) {
                link.send(message);
            } else {
                waiting.removeIf(one -> one.until.isBefore(used));
                if (waiting.size() < MOST_WAITING) {
                    waiting.add(new Waiting(message, used.plus(WAITS)));
                }
            }
        }

        void endIfUnused() {
            scheduler.after(UNWANTED, () -> {
                if (!wanted.contains(member.token()) && outgoing.get(member.token()) == this) {
                    if (used.plus(UNWANTED).isAfter(scheduler.now())) {
                        endIfUnused();
                    } else {
                        outgoing.remove(member.token(), this);
                        link.close(CloseReason.IDLE);
                    }
                }
            });
        }

        @Override
        public void authenticated(AuthenticatedLink up, String name) {
            if (!name.equals(member.name())) {
                throw new BadInput("it says that it is " + name + ", not " + member.name());
            }
            handler.up(member.token());
            Instant now = scheduler.now();
            waiting.stream().filter(one -> !one.until.isBefore(now)).forEach(one -> link.send(one.message));
            waiting.clear();
        }

        @Override
        public void received(byte[] payload) {
            dispatch(payload, stream, link);
        }

        @Override
        public void closed(CloseReason end) {
            if (outgoing.get(member.token()) != this) {
                return;
            }
            LOG.log(Level.DEBUG, "link to {0} is down: {1}", member.name(), end);
            scheduler.after(REDIAL, this::dial);
        }
    }

    private final class Incoming implements AuthenticatedLink.Listener {

        private final long stream = ++streams;
        private final AuthenticatedLink link = new AuthenticatedLink(common, false, this);

        @Override
        public void authenticated(AuthenticatedLink up, String name) {
            // Whose it is stands in each message.
        }

        @Override
        public void received(byte[] payload) {
            dispatch(payload, stream, link);
        }

        @Override
        public void closed(CloseReason end) {
            // It is dialled again from the other side.
        }
    }
}
