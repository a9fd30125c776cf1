package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.discovery.WatchMessage.Request;
import pathlane.discovery.WatchMessage.Response;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.group.AuthenticatedLink;
import pathlane.wire.BadInput;

/** One connection of a watch client to a publisher, from the dial to its end. */
final class WatchSession implements AuthenticatedLink.Listener {

    /** What the client is told of its connections. */
    interface Owner {
        /** The publisher has shown that it has the key. */
        void connected(WatchSession session);

        /** @throws BadInput where it can't be used; the connection then ends */
        void received(WatchSession session, Response response);

        /** It has ended, or never came up; called once, and last. */
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

    /** Whether the publisher took the watch not now. */
    boolean wasRefused() {
        return isRefused;
    }

    void setRefused() {
        isRefused = true;
    }

    void send(Request request) {
        link.send(WatchCodec.bytes(request));
    }

    /** Ends it; the owner hears of it within this call, however long the connection takes to close. */
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

    /** What was held up by an own stall may have come long since: that time does not count. */
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
            throw new BadInput("a subscriber's message from a publisher");
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
