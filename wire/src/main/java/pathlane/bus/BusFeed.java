package pathlane.bus;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.wire.BadInput;
import pathlane.wire.FrameAssembler;

/**
 * Follows the event bus from the last event on, over as many connections as it takes. The bus may move to another
 * address; the numbers of its events go on.
 */
public final class BusFeed {

    private static final Logger LOG = System.getLogger("bus");
    private static final int LENGTH_BYTES = 4;
    private static final int HEAD = 9;
    /** Some 9,000 servers in one event; a longer one is no event, and is refused before it is gathered. */
    private static final int LONGEST = 256 * 1024;
    private static final int NOTHING_NEW = 0;
    private static final int WHOLE = 1;
    private static final int CHANGES = 2;
    private static final Duration DIAL_TIMEOUT = Duration.ofMillis(500);
    /** Half of it at the least, so that a fleet which lost the bus at once does not come back at once. */
    private static final Duration REDIAL = Duration.ofMillis(200);
    /** While the bus can't be reached, whether it is to be found elsewhere is asked at this pace. */
    private static final Duration LOOK_ELSEWHERE = Duration.ofSeconds(1);
    /** It says something each second, up to a third of 24 ms late by the platform's figures; twice that is left. */
    private static final Duration CURRENT = Duration.ofMillis(1020);
    /** The bus says something each second; an event counts as told 7 s on, whether it arrived or not. */
    private static final Duration MOST_SILENCE = Duration.ofMillis(2500);

    /**
     * What the bus has in store for a new connection has come by then. The way there and back takes 63 ms at the most by
     * the platform's figures (24 ms one way, a third more by jitter); this leaves three times that.
     */
    private static final Duration CATCH_UP = Duration.ofMillis(200);

    private final Connector dialer;
    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Consumer<ServerList> events;
    private final Runnable unreachable;
    private Instant lookedElsewhere = Instant.MIN;
    /** When the bus last said something whole. */
    private Instant lastFrame = Instant.MIN;
    private Instant lastReceived = Instant.MIN;
    private InetSocketAddress bus;
    private long last;
    private boolean wasUp;
    /** The number of the last event that could not be read; it has been asked for once more. */
    private long unreadable = -1;
    /** The one connection that is followed or dialled; whatever another one still does concerns nobody. */
    private Session session;
    private final CompletableFuture<Void> current = new CompletableFuture<>();
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();

    /**
     * Starts to follow nothing yet.
     *
     * @param last the number of the last event that is known
     * @param unreachable run on the loop, once a second at the most, while the bus is dialled in vain; it may call
     *                    {@link #follow}
     */
    public BusFeed(long last, Connector dialer, Scheduler scheduler, SplittableRandom random,
            Consumer<ServerList> events, Runnable unreachable) {
        this.unreachable = unreachable;
        this.last = last;
        this.dialer = dialer;
        this.scheduler = scheduler;
        this.random = random;
        this.events = events;
    }

    /** Follows the bus at this address from now on, and lets go of the one that was followed before. */
    public void follow(InetSocketAddress address) {
        if (address.equals(bus)) {
            return;
        }
        LOG.log(Level.INFO, "event bus is at {0}", address);
        bus = address;
        Session before = session;
        dial();
        if (before != null && before.connection != null) {
            before.connection.close(CloseReason.REPLACED);
        }
    }

    /** Done, on the loop, once all that the bus had to tell at the first connection has been read. */
    public CompletableFuture<Void> current() {
        return current;
    }

    /**
     * Done, on the loop, once the bus itself has said that it has nothing newer than what it told. Unlike {@link #current}
     * it never takes time for an answer: a bus that stalls in the middle of its list has not told it.
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp;
    }

    /**
     * When the bus itself last said something whole; {@link Instant#MIN} before. Unlike {@link #isCurrent} it takes no
     * connection for a word: a bus that accepts connections and tells nothing is silent.
     */
    public Instant lastFrame() {
        return lastFrame;
    }

    /** Whether the bus was heard so lately that it would have told of a change; always where none is followed. */
    public boolean isCurrent() {
        return bus == null || !lastReceived.plus(CURRENT).isBefore(scheduler.now());
    }

    private void dial() {
        session = new Session();
        dialer.connect(bus, DIAL_TIMEOUT, session);
    }

    private void lookElsewhere() {
        Instant now = scheduler.now();
        if (!now.isBefore(lookedElsewhere)) {
            lookedElsewhere = now.plus(LOOK_ELSEWHERE);
            unreachable.run();
        }
    }

    private final class Session implements Protocol {

        private final FrameAssembler assembler = new FrameAssembler(LENGTH_BYTES, HEAD, LONGEST);
        private Connection connection;
        private Scheduler.Timer silence;
        private boolean ended;

        @Override
        public void opened(Connection up) {
            if (session != this) {
                up.close(CloseReason.REPLACED);
                return;
            }
            connection = up;
            wasUp = true;
            LOG.log(Level.INFO, "event bus is up, from event {0}", Long.toString(last));
            up.write(ByteBuffer.allocate(Long.BYTES).putLong(last).array());
            await();
            Instant openedAt = scheduler.now();
            scheduler.after(CATCH_UP, () -> {
                if (session == this && !ended) {
                    lastReceived = lastReceived.isAfter(openedAt) ? lastReceived : openedAt;
                    current.complete(null);
                }
            });
        }

        /** Guards against a bus that went without a word: nothing would ever tell. */
        private void await() {
            silence = scheduler.after(MOST_SILENCE, () -> connection.close(CloseReason.SILENT));
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (session != this) {
                bytes.position(bytes.limit());
                return;   // guards the new bus's events against what the old one still says
            }
            try {
                if (assembler.feed(bytes, this::frame) > 0) {
                    lastReceived = scheduler.now();
                    lastFrame = lastReceived;
                    silence.cancel();   // a whole event came: half of one that then stops is silence too
                    await();
                }
            } catch (BadInput e) {
                LOG.log(Level.WARNING, "event bus closed for bad input: {0}", e.getMessage());
                bytes.position(bytes.limit());
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
        }

        private void frame(ByteBuffer frame) {
            long number = frame.getLong();
            int kind = frame.get() & 0xff;
            if (kind == NOTHING_NEW) {
                current.complete(null);
                caughtUp.complete(null);
                return;
            }
            if (kind != WHOLE && kind != CHANGES) {
                throw new BadInput("an event of kind " + kind);
            }
            if (Long.compareUnsigned(number, last) <= 0) {
                return;   // had it before
            }
            if (kind == CHANGES && number != last + 1) {
                // Guards against a list with a hole in it: the missing events are asked for again.
                throw new BadInput("event " + number + " after " + last);
            }
            ServerList list = read(number, kind, frame);
            last = number;
            list.lines().forEach(line -> LOG.log(Level.INFO, "event {0}: server {1} at {2} is {3}",
                    Long.toString(number), ServerList.serverName(line.id()), line.address(), line.status()));
            events.accept(list);
        }

        /**
         * Reads an event. Guards against one that came spoilt, which is asked for again, and against one that can't
         * be read however often it comes, which must not keep all later ones out: it is passed over.
         */
        private ServerList read(long number, int kind, ByteBuffer frame) {
            try {
                return ServerList.read(kind == WHOLE, frame);
            } catch (BadInput e) {
                if (number != unreadable) {
                    unreadable = number;
                    throw e;
                }
                LOG.log(Level.WARNING, "event {0} can''t be read, again, and is passed over: {1}",
                        Long.toString(number), e.getMessage());
                return new ServerList(false, List.of());
            }
        }

        @Override
        public void closed(CloseReason end) {
            ended = true;
            if (silence != null) {
                silence.cancel();
            }
            if (session != this) {
                return;   // guards against a bus that was let go being dialled again, beside the new one
            }
            if (wasUp) {
                LOG.log(Level.WARNING, "event bus is down: {0}; dialling again", end);
            }
            wasUp = false;
            if (connection == null) {
                lookElsewhere();
            }
            if (session != this) {
                return;   // it is followed elsewhere now
            }
            long half = REDIAL.toNanos() / 2;
            scheduler.after(Duration.ofNanos(half + random.nextLong(half)), () -> {
                if (session == this) {
                    dial();
                }
            });
        }
    }
}
