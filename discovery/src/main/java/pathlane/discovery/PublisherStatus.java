package pathlane.discovery;

import java.time.Duration;

/**
 * How complete and how current a publisher's content is.
 *
 * @param complete whether it has received the complete catalogue since its start; services missing from an incomplete one
 *                 may exist
 * @param revision the newest revision of the catalogue that it holds
 * @param staleFor how long it has been disconnected from the source; zero while it is connected
 */
public record PublisherStatus(boolean complete, Revision revision, Duration staleFor) {}
