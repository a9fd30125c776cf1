package pathlane.discovery;

import pathlane.core.CloseReason;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/**
 * The accepting side of a subscriber's connection: passes the watch's messages between signed frames and a publisher. The
 * driver's write buffer must hold at least {@link PublisherTerms#unacknowledgedBytes}, or the largest service if that is
 * more.
 */
public final class PublisherLink implements AuthenticatedLink.Listener {

    private final Publisher publisher;
    private Publisher.Session session;

    private PublisherLink(Publisher publisher) {
        this.publisher = publisher;
    }

    /** The state machine of an accepted connection, for the driver that feeds it. */
    public static Protocol accept(Publisher publisher, AuthenticatedLink.Context common) {
        return new AuthenticatedLink(common, false, new PublisherLink(publisher));
    }

    @Override
    public void authenticated(AuthenticatedLink link, String name) {
        session = publisher.open(new LinkPort(link, name));
    }

    @Override
    public void received(byte[] payload) {
        session.received(payload);
    }

    @Override
    public void closed(CloseReason end) {
        if (session != null) {
            session.closed();
        }
    }

    private record LinkPort(AuthenticatedLink link, String name) implements SubscriberPort {
        @Override
        public void send(byte[] message) {
            link.send(message);
        }

        @Override
        public boolean isBlocked() {
            return link.isBlocked();
        }

        @Override
        public void close(CloseReason reason) {
            link.close(reason);
        }
    }
}
