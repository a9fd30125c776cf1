package pathlane.lab.discovery;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import pathlane.core.CloseReason;
import pathlane.discovery.PublisherStatus;
import pathlane.discovery.Revision;
import pathlane.discovery.WatchCodec;
import pathlane.discovery.WatchMessage;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * One connection between a subscriber and a publisher, whose messages are observed at both ends. The frames are those of
 * {@link pathlane.group.SealedLink}, one write each: length:4 payload mac:16, after an opening without a mac.
 */
final class ObservedLink {

    private static final int LENGTH_BYTES = 4;
    private static final int MAC_BYTES = 16;

    /** Receives the messages of a connection. */
    interface Observer {
        /** A publisher is about to write a message to its connection. */
        void sent(ObservedLink link, WatchMessage.Response message, int bytes);

        /** A request is about to reach the publisher. */
        void requested(ObservedLink link, WatchMessage.Request message);

        /** A response is about to reach the subscriber. */
        void arriving(ObservedLink link, WatchMessage.Response message);

        /** The subscriber has handled a response. */
        void handled(ObservedLink link, WatchMessage.Response message);
    }

    /** Bytes of updates that were sent and not yet acknowledged, by batch. */
    final Map<Long, Integer> unacknowledged = new HashMap<>();
    final FleetProcess subscriber;
    final int subscriberIncarnation;
    final FleetProcess publisher;
    final int publisherIncarnation;
    private final EventTrace trace;
    private final Observer observer;
    private boolean accepted;
    private Instant publisherClosedAt = Instant.MAX;
    private PublisherStatus lastStatus;
    private Map<String, Revision> revisionsAtLastUpdate = Map.of();
    private String lastUpdateWithoutRemoval;

    ObservedLink(FleetProcess subscriber, FleetProcess publisher, EventTrace trace, Observer observer) {
        this.subscriber = subscriber;
        this.subscriberIncarnation = subscriber.incarnation();
        this.publisher = publisher;
        this.publisherIncarnation = publisher.incarnation();
        this.trace = trace;
        this.observer = observer;
    }

    /** Whether the publisher has accepted the watch. */
    boolean isAccepted() {
        return accepted;
    }

    /** When the publisher detected that the connection closed; {@link Instant#MAX} while it has not. */
    Instant publisherClosedAt() {
        return publisherClosedAt;
    }

    /** Returns the publisher's last status that reached the subscriber on this connection. */
    Optional<PublisherStatus> lastStatus() {
        return Optional.ofNullable(lastStatus);
    }

    int unacknowledgedBytes() {
        return unacknowledged.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Revisions of the publisher's services at the last update with changes other than removals; empty if none. */
    Map<String, Revision> revisionsAtLastUpdate() {
        return revisionsAtLastUpdate;
    }

    /** Returns a service whose change in that update was not a removal. */
    String lastUpdateWithoutRemoval() {
        return lastUpdateWithoutRemoval;
    }

    void recordOrdinaryUpdate(String service, Map<String, Revision> revisions) {
        lastUpdateWithoutRemoval = service;
        revisionsAtLastUpdate = revisions;
    }

    /** Clears the last update after a change of the watch, which may add services that were not requested before. */
    void clearOrdinaryUpdate() {
        revisionsAtLastUpdate = Map.of();
    }

    void recordAccepted() {
        accepted = true;
    }

    void recordStatus(PublisherStatus status) {
        lastStatus = status;
    }

    /** Wraps the subscriber's protocol to observe the messages that it receives. */
    Protocol atSubscriber(Protocol protocol) {
        return new Protocol() {
            @Override
            public void opened(Connection connection) {
                protocol.opened(connection);
            }

            @Override
            public void received(ByteBuffer bytes) {
                Optional<byte[]> payload = payload(copy(bytes));
                Optional<WatchMessage.Response> response = payload.map(WatchCodec::message)
                        .map(WatchMessage.Response.class::cast);
                response.ifPresent(message -> {
                    trace.message(publisher.name(), subscriber.name(), payload.get(), message);
                    observer.arriving(ObservedLink.this, message);
                });
                protocol.received(bytes);
                response.ifPresent(message -> observer.handled(ObservedLink.this, message));
            }

            @Override
            public void closed(CloseReason end) {
                trace.record(subscriber.name(), "closed to " + publisher.name() + " " + end);
                protocol.closed(end);
            }
        };
    }

    /** Wraps the publisher's protocol to observe the messages that it writes and receives. */
    Protocol atPublisher(Protocol protocol) {
        return new Protocol() {
            @Override
            public void opened(Connection connection) {
                protocol.opened(observe(connection));
            }

            @Override
            public void received(ByteBuffer bytes) {
                payload(copy(bytes)).ifPresent(payload -> {
                    WatchMessage.Request request = (WatchMessage.Request) WatchCodec.message(payload);
                    trace.message(subscriber.name(), publisher.name(), payload, request);
                    observer.requested(ObservedLink.this, request);
                });
                protocol.received(bytes);
            }

            @Override
            public void closed(CloseReason end) {
                publisherClosedAt = publisher.time().now();
                trace.record(publisher.name(), "closed to " + subscriber.name() + " " + end);
                protocol.closed(end);
            }
        };
    }

    private Connection observe(Connection connection) {
        return new Connection() {
            @Override
            public void write(byte[] frame) {
                payload(frame).ifPresent(payload -> observer.sent(ObservedLink.this,
                        (WatchMessage.Response) WatchCodec.message(payload), payload.length));
                connection.write(frame);
            }

            @Override
            public boolean isBlocked() {
                return connection.isBlocked();
            }

            @Override
            public void close(CloseReason why) {
                connection.close(why);
            }

            @Override
            public String remote() {
                return connection.remote();
            }
        };
    }

    private static byte[] copy(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        return copy;
    }

    /** Returns a message's payload, or empty if the frame belongs to the opening. */
    private static Optional<byte[]> payload(byte[] frame) {
        boolean isOpening = frame[LENGTH_BYTES] == 'P' && frame[LENGTH_BYTES + 1] == 'L'
                && frame[LENGTH_BYTES + 2] == 'G' && frame[LENGTH_BYTES + 3] == '1';
        if (isOpening || frame.length <= LENGTH_BYTES + MAC_BYTES) {
            return Optional.empty();
        }
        return Optional.of(Arrays.copyOfRange(frame, LENGTH_BYTES, frame.length - MAC_BYTES));
    }
}
