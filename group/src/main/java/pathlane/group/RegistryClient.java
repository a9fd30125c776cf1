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
import pathlane.wire.BadInput;

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
    static final int ASK = 1;
    static final int ANSWER = 2;
    static final int ELSEWHERE = 3;
    static final int STATE = 4;
    static final int APPLIED = 5;
    static final int ALIVE = 6;

    private static final Duration DIAL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration NEXT_VOTER = Duration.ofMillis(100);
    /** A leader sends five heartbeats in this time. */
    static final Duration SILENCE = Duration.ofSeconds(1);
    private static final Duration UNANSWERED = Duration.ofSeconds(1);

    private final List<InetSocketAddress> voters;
    private final Connector dialer;
    private final Scheduler scheduler;
    private final AuthenticatedLink.Context common;
    private final Runnable changed;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private LeaseRegistry seen = new LeaseRegistry();
    private long index = -1;
    private long asks;
    private int voter;
    private Session session;
    private boolean stopped;

    private record Waiting(Consumer<Optional<Reply>> answered, Scheduler.Timer timer) {}

    /**
     * Creates a client without a connection; {@link #start} connects.
     *
     * @param changed run after each change of the local replica of the registry
     */
    public RegistryClient(List<InetSocketAddress> voters, Connector dialer, AuthenticatedLink.Context common,
            Runnable changed) {
        this.voters = List.copyOf(voters);
        this.dialer = dialer;
        this.scheduler = common.scheduler();
        this.common = common;
        this.changed = changed;
    }

    /** Starts to connect to the voters in turn until one leads. */
    public void start() {
        dial();
    }

    /** Closes the connection for good; later commands get no reply. */
    public void stop() {
        stopped = true;
        if (session != null) {
            session.link.close(CloseReason.DISCONNECTED);
        }
    }

    /** Whether the client is connected to a leading voter and follows it. */
    public boolean isConnected() {
        return session != null && session.following;
    }

    @Override
    public LeaseRegistry registry() {
        return seen;
    }

    @Override
    public void submit(Command command, Consumer<Optional<Reply>> answered) {
        long id = ++asks;
        if (!isConnected()) {
            scheduler.after(Duration.ZERO, () -> answered.accept(Optional.empty()));
            return;
        }
        waiting.put(id, new Waiting(answered, scheduler.after(UNANSWERED, () -> answer(id, Optional.empty()))));
        byte[] bytes = RegistryCodec.bytes(command);
        session.link.send(RegistryCodec.packed(packer -> {
            packer.packInt(ASK).packLong(id).packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        }));
    }

    private void answer(long id, Optional<Reply> reply) {
        Waiting one = waiting.remove(id);
        if (one != null) {
            one.timer.cancel();
            one.answered.accept(reply);
        }
    }

    private void dial() {
        if (!stopped) {
            session = new Session();
            dialer.connect(voters.get(voter), DIAL_TIMEOUT, session.link);
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

        private final AuthenticatedLink link = new AuthenticatedLink(common, true, this);
        private boolean following;
        private Scheduler.Timer silence;

        @Override
        public void authenticated(AuthenticatedLink up, String name) {
            await();
        }

        private void await() {
            if (silence != null) {
                silence.cancel();
            }
            silence = scheduler.after(SILENCE, () -> link.close(CloseReason.SILENT));
        }

        @Override
        public void received(byte[] payload) {
            await();
            RegistryCodec.read(payload, unpacker -> {
                received(unpacker);
                return null;
            });
        }

        private void received(MessageUnpacker unpacker) throws IOException {
            int kind = unpacker.unpackInt();
            switch (kind) {
                case ANSWER -> answer(unpacker.unpackLong(), Optional.of(RegistryCodec.reply(binary(unpacker))));
                case ELSEWHERE -> link.close(CloseReason.DISCONNECTED);
                case STATE -> {
                    long at = unpacker.unpackLong();
                    if (at < index) {
                        link.close(CloseReason.OVERTAKEN);   // a former leader that has not noticed that it is behind
                        return;
                    }
                    seen = RegistryCodec.register(binary(unpacker));
                    index = at;
                    if (!following) {
                        LOG.log(Level.INFO, "connected to the voter at {0}, which leads the registry", voters.get(voter));
                    }
                    following = true;
                    changed.run();
                }
                case APPLIED -> {
                    index = unpacker.unpackLong();
                    seen.apply(RegistryCodec.command(binary(unpacker)));
                    changed.run();
                }
                case ALIVE -> {}
                default -> throw new BadInput("unknown message kind " + kind + " from a voter");
            }
        }

        @Override
        public void closed(CloseReason end) {
            if (silence != null) {
                silence.cancel();
            }
            if (session != this) {
                return;
            }
            if (following) {
                LOG.log(Level.WARNING, "the voter at {0}, which led the registry, is lost: {1}", voters.get(voter), end);
            }
            following = false;
            List.copyOf(waiting.keySet()).forEach(id -> answer(id, Optional.empty()));
            voter = (voter + 1) % voters.size();
            scheduler.after(NEXT_VOTER, RegistryClient.this::dial);
        }
    }
}
