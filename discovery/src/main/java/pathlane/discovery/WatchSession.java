package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.discovery.WatchMessage.Request;
import pathlane.discovery.WatchMessage.Response;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.group.AuthenticatedLink;
import pathlane.wire.ProtocolException;

/** One connection of a watch client to a publisher, from the connection attempt to its end. */
final class WatchSession implements AuthenticatedLink.Listener {

    /** Receives the events of the client's connections. */
    interface Owner {
        /** The publisher has proved that it holds the shared key. */
        void connected(WatchSession session);

        /**
         * Handles a message of the publisher.
         *
         * @throws ProtocolException if the message is invalid; the connection is then closed
         */
        void received(WatchSession session, Response response);

        /** The connection was closed or could not be established; called exactly once, as the last call. */
        void ended(WatchSession session, CloseReason end);
    }

    private static final Duration MIN_CHECK_DELAY = Duration.ofMillis(10);

    private final PublisherAddress publisher;
    private final Scheduler scheduler;
    private final Duration silenceTimeout;
    private final WatchCounters.Tally tally;
    private final Owner owner;
    private final AuthenticatedLink link;
    private Instant lastReceived;
    private Scheduler.Timer silenceTimer;
    private boolean isAccepted;
    private boolean isRefused;
    private boolean isEnded;

    WatchSession(PublisherAddress publisher, AuthenticatedLink.Context common, Scheduler scheduler, Duration silenceTimeout,
            WatchCounters.Tally tally, Owner owner) {
        this.publisher = publisher;
        this.scheduler = scheduler;
        this.silenceTimeout = silenceTimeout;
        this.tally = tally;
        this.owner = owner;
        this.link = new AuthenticatedLink(common, true, this);
    }

    PublisherAddress publisher() {
        return publisher;
    }

    AuthenticatedLink link() {
        return link;
    }

    boolean isAuthenticated() {
        return link.isAuthenticated();
    }

    boolean isAccepted() {
        return isAccepted;
    }

    void setAccepted() {
        isAccepted = true;
    }

    /** Whether the publisher rejected the watch temporarily. */
    boolean wasRefused() {
        return isRefused;
    }

    void setRefused() {
        isRefused = true;
    }

    void send(Request request) {
        link.send(WatchCodec.bytes(request));
    }

    /** Closes the connection; the owner is notified within this call, however long closing takes. */
    void end(CloseReason reason) {
        link.close(reason);
        closed(reason);
    }

    @Override
    public void authenticated(AuthenticatedLink authenticated, String name) {
        lastReceived = scheduler.now();
        silenceTimer = scheduler.after(silenceTimeout, this::checkSilence);
        owner.connected(this);
    }

    /** The lag of this process does not count: messages may have arrived during a stall without having been read yet. */
    private void checkSilence() {
        Duration silent = Duration.between(lastReceived, scheduler.now()).minus(scheduler.lag());
        Duration left = silenceTimeout.minus(silent);
        if (left.isZero() || left.isNegative()) {
            end(CloseReason.SILENT);
            return;
        }
        silenceTimer = scheduler.after(left.compareTo(MIN_CHECK_DELAY) < 0 ? MIN_CHECK_DELAY : left, this::checkSilence);
    }

    @Override
    public void received(byte[] payload) {
        lastReceived = scheduler.now();
        tally.messagesReceived++;
        tally.bytesReceived += payload.length;
        if (!(WatchCodec.message(payload) instanceof Response response)) {
            throw new ProtocolException("received a subscriber's message from a publisher");
        }
        owner.received(this, response);
    }

    @Override
    public void closed(CloseReason end) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        owner.ended(this, end);
    }
}
