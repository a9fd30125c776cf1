package pathlane.discovery;

import java.time.Duration;
import java.util.List;

/** The messages between a subscriber (a call controller or a relay) and its publisher (a relay or the source). */
public sealed interface WatchMessage {

    /** Sent by a subscriber to its publisher. */
    sealed interface Request extends WatchMessage {}

    /** Sent by a publisher to its subscriber. */
    sealed interface Response extends WatchMessage {}

    /**
     * One service of a watch, and the version of it that the subscriber holds.
     *
     * @param heldRevision the revision applied, {@link Revision#NONE} to request a snapshot
     * @param digest the digest of the content applied; ignored without a revision
     */
    record Interest(String service, Revision heldRevision, long digest) {}

    /**
     * Adds services to a watch and removes others. Sent first on a connection, and again whenever the watch changes or a
     * service must be sent again (an interest in a service already watched replaces the earlier one).
     *
     * @param everything whether all services of the catalogue are watched, including those added later; the interests list
     *                   the services already held
     * @param last whether this message completes the subscription; a long list of interests is sent in several messages
     */
    record Subscribe(boolean everything, boolean last, List<Interest> interests, List<String> ended) implements Request {}

    /**
     * Acknowledges an update or a bookmark.
     *
     * @param batch the number of the update, 0 for a bookmark
     * @param inForce all changes of the watch up to this revision are applied at the subscriber
     */
    record Acknowledge(long batch, Revision inForce) implements Request {}

    /**
     * The aggregated progress of the subscribers below a relay; sent at most once a second, and only when it has changed.
     */
    record Progress(ProgressReport report) implements Request {}

    /** The watch is accepted. */
    record Accepted(PublisherStatus status) implements Response {}

    /**
     * The publisher accepts no more watches at present; the subscriber may retry after this delay, or use another
     * publisher.
     */
    record Refused(Duration retryAfter) implements Response {}

    /**
     * Changes of watched services. The order among services is unspecified, except that changes that remove or drain
     * endpoints come first.
     *
     * @param batch the number of the update on this connection, from 1
     */
    record Update(long batch, List<ServiceChange> changes) implements Response {}

    /** All changes of the watch up to this revision were sent before this message. */
    record Bookmark(Revision revision) implements Response {}

    /** The publisher's status; sent when it changes, and each second while the publisher is stale. */
    record Status(PublisherStatus status) implements Response {}
}
