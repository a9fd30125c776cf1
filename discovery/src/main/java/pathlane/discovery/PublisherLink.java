package pathlane.discovery;

import pathlane.core.CloseReason;
import pathlane.group.SealedLink;
import pathlane.transport.Protocol;

/**
 * The accepting side of a subscriber's connection: messages of the watch in signed frames, above a publisher. The driver
 * must let wait as many bytes to be written as {@link PublisherTerms#unacknowledgedBytes}, or the largest service if that is
 * more.
 */
public final class PublisherLink implements SealedLink.Upper {

    private final Publisher publisher;
    private Publisher.Session session;

    private PublisherLink(Publisher publisher) {
        this.publisher = publisher;
    }

    /** The state machine of a connection that was accepted, for the driver that feeds it. */
    public static Protocol accept(Publisher publisher, SealedLink.Common common) {
        return new SealedLink(common, false, new PublisherLink(publisher));
    }

    @Override
    public void up(SealedLink link, String name) {
        session = publisher.open(new LinkPort(link, name));
    }

    @Override
    public void message(byte[] payload) {
        session.received(payload);
    }

    @Override
    public void down(CloseReason end) {
        if (session != null) {
            session.closed();
        }
    }

    private record LinkPort(SealedLink link, String name) implements SubscriberPort {
        @Override
        public void send(byte[] message) {
            link.write(message);
        }

        @Override
        public boolean isStuck() {
            return link.isStuck();
        }

        @Override
        public void close(CloseReason why) {
            link.end(why);
        }
    }
}
