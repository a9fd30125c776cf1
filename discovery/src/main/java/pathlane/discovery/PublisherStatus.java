package pathlane.discovery;

import java.time.Duration;

/**
 * How far a publisher's content can be believed.
 *
 * @param complete whether it has held the whole catalogue since it started; what an incomplete one lacks may exist
 * @param revision the newest revision of the catalogue that it holds
 * @param staleFor how long ago it lost its way to the source; zero while it is connected
 */
public record PublisherStatus(boolean complete, Revision revision, Duration staleFor) {}
