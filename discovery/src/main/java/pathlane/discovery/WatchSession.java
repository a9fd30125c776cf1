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

    private static final Duration LEAST_CHECK = Duration.ofMillis(10);

    private final PublisherAddress publisher;
    private final Scheduler scheduler;
    private final Duration silentAfter;
    private final WatchCounters.Tally tally;
    private final Owner owner;
    private final AuthenticatedLink link;
    private Instant lastReceived;
    private Scheduler.Timer silence;
    private boolean accepted;
    private boolean refused;
    private boolean ended;

    WatchSession(PublisherAddress publisher, AuthenticatedLink.Context common, Scheduler scheduler, Duration silentAfter,
            WatchCounters.Tally tally, Owner owner) {
        this.publisher = publisher;
        this.scheduler = scheduler;
        this.silentAfter = silentAfter;
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

    boolean isUp() {
        return link.isAuthenticated();
    }

    boolean isAccepted() {
        return accepted;
    }

    void setAccepted() {
        accepted = true;
    }

    /** Whether the publisher took the watch not now. */
    boolean wasRefused() {
        return refused;
    }

    void setRefused() {
        refused = true;
    }

    void send(Request request) {
        link.send(WatchCodec.bytes(request));
    }

    /** Ends it; the owner hears of it within this call, however long the connection takes to close. */
    void end(CloseReason why) {
        link.close(why);
        closed(why);
    }

    @Override
    public void authenticated(AuthenticatedLink up, String name) {
        lastReceived = scheduler.now();
        silence = scheduler.after(silentAfter, this::checkSilence);
        owner.connected(this);
    }

    /** What was held up by an own stall may have come long since: that time does not count. */
    private void checkSilence() {
        Duration silent = Duration.between(lastReceived, scheduler.now()).minus(scheduler.lag());
        Duration left = silentAfter.minus(silent);
        if (left.isZero() || left.isNegative()) {
            end(CloseReason.SILENT);
            return;
        }
        silence = scheduler.after(left.compareTo(LEAST_CHECK) < 0 ? LEAST_CHECK : left, this::checkSilence);
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
        if (ended) {
            return;
        }
        ended = true;
        if (silence != null) {
            silence.cancel();
        }
        owner.ended(this, end);
    }
}
