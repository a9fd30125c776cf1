package pathlane.discovery;

import java.time.Duration;
import java.util.List;

/** What a subscriber (a call controller or a relay) and its publisher (a relay or the source) tell each other. */
public sealed interface WatchMessage {

    /** From a subscriber to its publisher. */
    sealed interface Request extends WatchMessage {}

    /** From a publisher to its subscriber. */
    sealed interface Response extends WatchMessage {}

    /**
     * One service of a watch, and what the subscriber already holds of it.
     *
     * @param have the revision in force, {@link Revision#NONE} to be sent a snapshot
     * @param digest the digest of the content in force; ignored where there is none
     */
    record Interest(String service, Revision have, long digest) {}

    /**
     * Adds services to a watch and ends others; sent first on a connection, and later whenever the watch changes or a
     * service must be sent anew (an interest in a service that is watched already replaces the former).
     *
     * @param everything whether all services of the catalogue are watched, those to come among them; what is held already
     *                   is in the interests
     * @param last whether the watch as resumed is now complete; a long list of interests is sent in several messages
     */
    record Subscribe(boolean everything, boolean last, List<Interest> interests, List<String> ended) implements Request {}

    /**
     * A batch has been applied.
     *
     * @param batch the number of the update, 0 for a bookmark
     * @param inForce everything that the watch concerns up to this revision is in force at the subscriber
     */
    record Acknowledge(long batch, Revision inForce) implements Request {}

    /** How far the subscribers below a relay are, added up; sent once a second at most, while something has changed. */
    record Progress(ProgressReport report) implements Request {}

    /** The watch is accepted. */
    record Accepted(PublisherStatus status) implements Response {}

    /** The publisher takes no more watches now; the subscriber may come back after this time, or go elsewhere. */
    record Refused(Duration comeBackAfter) implements Response {}

    /**
     * Changes of watched services. The order among services is free; removals and drains come first.
     *
     * @param batch counts the updates on a connection from 1
     */
    record Update(long batch, List<ServiceChange> changes) implements Response {}

    /** Everything up to this revision that the watch concerns was sent before this message. */
    record Bookmark(Revision revision) implements Response {}

    /** The publisher's status has changed, or a second has passed while it is stale. */
    record Status(PublisherStatus status) implements Response {}
}
