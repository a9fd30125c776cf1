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
import pathlane.wire.FrameAssembler;
import pathlane.wire.ProtocolException;

/**
 * Subscribes to the event bus and resumes after the last known event on each reconnect. The bus may move to another address;
 * event numbers continue there.
 */
public final class BusFeed {

    private static final Logger LOG = System.getLogger("bus");
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 9;
    /** Room for about 9,000 servers in one event; a longer frame is rejected before it is buffered. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;
    private static final int NO_NEW_EVENT = 0;
    private static final int COMPLETE_LIST = 1;
    private static final int CHANGES = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** The maximum; the minimum is half of it. The spread keeps a fleet that lost the bus from reconnecting all at once. */
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);
    /** The minimum interval between two calls of the callback for an unreachable bus. */
    private static final Duration UNREACHABLE_CALLBACK_INTERVAL = Duration.ofSeconds(1);
    /**
     * The bus sends at least one frame per second; by the platform's figures jitter delays it by up to a third of 24 ms. The
     * 20 ms beyond the second are more than twice that.
     */
    private static final Duration FRESHNESS_LIMIT = Duration.ofMillis(1020);
    /**
     * The bus sends at least one frame per second. The platform counts an event as known to its subscribers 7 s after it was
     * sent, whether it arrived or not, so a silent connection has to be replaced well before that.
     */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2500);

    /**
     * By this time after a connection opened, the events that the bus had queued for it have arrived. A round trip takes at
     * most 63 ms by the platform's figures (24 ms one way, plus a third of jitter); this allows three times as much.
     */
    private static final Duration CATCH_UP_TIME = Duration.ofMillis(200);

    private final Connector connector;
    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Consumer<ServerList> events;
    private final Runnable onUnreachable;
    /** No unreachable callback is made before this. */
    private Instant nextUnreachableCallback = Instant.MIN;
    /** When the last complete frame was received. */
    private Instant lastFrame = Instant.MIN;
    /** When the last complete frame was received, or the connection opened whose catch-up time passed last. */
    private Instant lastReceived = Instant.MIN;
    private InetSocketAddress busAddress;
    private long lastEvent;
    private boolean wasConnected;
    /** The number of the last event that could not be parsed; it has been requested once more. */
    private long malformedEvent = -1;
    /** The current connection, connecting or open; whatever an earlier one still reports is ignored. */
    private Session session;
    private final CompletableFuture<Void> current = new CompletableFuture<>();
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();

    /**
     * Creates a feed that does not connect until {@link #follow} is called.
     *
     * @param lastEvent the number of the last known event
     * @param onUnreachable run on the event loop, at most once per second, while connection attempts to the bus fail; it may
     *                      call {@link #follow}
     */
    public BusFeed(long lastEvent, Connector connector, Scheduler scheduler, SplittableRandom random,
            Consumer<ServerList> events, Runnable onUnreachable) {
        this.onUnreachable = onUnreachable;
        this.lastEvent = lastEvent;
        this.connector = connector;
        this.scheduler = scheduler;
        this.random = random;
        this.events = events;
    }

    /** Connects to the bus at this address and closes the connection to the previous address, if any. */
    public void follow(InetSocketAddress address) {
        if (address.equals(busAddress)) {
            return;
        }
        LOG.log(Level.INFO, "event bus is at {0}", address);
        busAddress = address;
        Session previous = session;
        connect();
        if (previous != null && previous.connection != null) {
            previous.connection.close(CloseReason.REPLACED);
        }
    }

    /** Completed, on the event loop, once the events that the bus had queued for the first connection have been applied. */
    public CompletableFuture<Void> initialSync() {
        return current;
    }

    /**
     * Completed, on the event loop, once the bus itself has reported that it has no newer event. Unlike {@link #initialSync}
     * it never completes by elapsed time: a bus that stalls in the middle of its list has not delivered it.
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp;
    }

    /**
     * When the last complete frame was received; {@link Instant#MIN} before the first. Unlike {@link #isCurrent} it does not
     * count an open connection as a sign of life: a bus that accepts connections and sends nothing is silent.
     */
    public Instant lastFrame() {
        return lastFrame;
    }

    /**
     * Whether the bus was last received from so recently that any change would have arrived; always true before
     * {@link #follow} is called.
     */
    public boolean isCurrent() {
        return busAddress == null || !lastReceived.plus(FRESHNESS_LIMIT).isBefore(scheduler.now());
    }

    private void connect() {
        session = new Session();
        connector.connect(busAddress, CONNECT_TIMEOUT, session);
    }

    private void notifyUnreachable() {
        Instant now = scheduler.now();
        if (!now.isBefore(nextUnreachableCallback)) {
            nextUnreachableCallback = now.plus(UNREACHABLE_CALLBACK_INTERVAL);
            onUnreachable.run();
        }
    }

    private final class Session implements Protocol {

        private final FrameAssembler assembler = new FrameAssembler(LENGTH_BYTES, HEADER_BYTES, MAX_FRAME_BYTES);
        private Connection connection;
        private Scheduler.Timer silenceTimer;
        private boolean isClosed;

        @Override
        public void opened(Connection opened) {
            if (session != this) {
                opened.close(CloseReason.REPLACED);
                return;
            }
            connection = opened;
            wasConnected = true;
            LOG.log(Level.INFO, "connected to event bus, last known event is {0}", Long.toString(lastEvent));
            opened.write(ByteBuffer.allocate(Long.BYTES).putLong(lastEvent).array());
            startSilenceTimer();
            Instant openedAt = scheduler.now();
            scheduler.after(CATCH_UP_TIME, () -> {
                if (session == this && !isClosed) {
                    lastReceived = lastReceived.isAfter(openedAt) ? lastReceived : openedAt;
                    current.complete(null);
                }
            });
        }

        /** Closes a connection on which the bus has gone silent; nothing else would detect it. */
        private void startSilenceTimer() {
            silenceTimer = scheduler.after(SILENCE_TIMEOUT, () -> connection.close(CloseReason.SILENT));
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (session != this) {
                bytes.position(bytes.limit());
                return;   // events of the previous bus must not mix with those of the new one
            }
            try {
                if (assembler.feed(bytes, this::frameReceived) > 0) {
                    lastReceived = scheduler.now();
                    lastFrame = lastReceived;
                    silenceTimer.cancel();   // restarted by complete frames alone: a stalled frame is silence
                    startSilenceTimer();
                }
            } catch (ProtocolException e) {
                LOG.log(Level.WARNING, "event bus connection closed for invalid input: {0}", e.getMessage());
                bytes.position(bytes.limit());
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
        }

        private void frameReceived(ByteBuffer frame) {
            long number = frame.getLong();
            int kind = frame.get() & 0xff;
            if (kind == NO_NEW_EVENT) {
                current.complete(null);
                caughtUp.complete(null);
                return;
            }
            if (kind != COMPLETE_LIST && kind != CHANGES) {
                throw new ProtocolException("unknown event kind " + kind);
            }
            if (Long.compareUnsigned(number, lastEvent) <= 0) {
                return;   // already applied
            }
            if (kind == CHANGES && number != lastEvent + 1) {
                // Applying it would leave the list without the missing changes: reconnecting requests them again.
                throw new ProtocolException("events are missing: event " + number + " after " + lastEvent);
            }
            ServerList list = parseEvent(number, kind, frame);
            lastEvent = number;
            list.endpoints().forEach(endpoint -> LOG.log(Level.INFO, "event {0}: server {1} at {2} is {3}",
                    Long.toString(number), ServerList.serverName(endpoint.id()), endpoint.address(), endpoint.status()));
            events.accept(list);
        }

        /**
         * Parses an event. A malformed one may have been corrupted in transit and is requested once more. If it is malformed
         * the second time as well, it is skipped, so that it does not block all later events.
         */
        private ServerList parseEvent(long number, int kind, ByteBuffer frame) {
            try {
                return ServerList.read(kind == COMPLETE_LIST, frame);
            } catch (ProtocolException e) {
                if (number != malformedEvent) {
                    malformedEvent = number;
                    throw e;
                }
                LOG.log(Level.WARNING, "event {0} skipped, since it is malformed for the second time: {1}",
                        Long.toString(number), e.getMessage());
                return new ServerList(false, List.of());
            }
        }

        @Override
        public void closed(CloseReason reason) {
            isClosed = true;
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            if (session != this) {
                return;   // replaced by a connection to the new address, so the old one is not reopened
            }
            if (wasConnected) {
                LOG.log(Level.WARNING, "event bus connection closed: {0}; reconnecting", reason);
            }
            wasConnected = false;
            if (connection == null) {
                notifyUnreachable();
            }
            if (session != this) {
                return;   // the callback switched to another address
            }
            long minDelayNanos = RECONNECT_DELAY.toNanos() / 2;
            scheduler.after(Duration.ofNanos(minDelayNanos + random.nextLong(minDelayNanos)), () -> {
                if (session == this) {
                    connect();
                }
            });
        }
    }
}
