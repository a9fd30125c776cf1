package pathlane.relay;

import pathlane.discovery.Source;

/** The origin of a source's content. Runs on the event loop's thread. */
interface ContentFeed {

    /** Creates the feed of a source, once the source has its epoch. */
    interface Factory {
        ContentFeed create(Source source);
    }

    /** Starts to fill the source's catalogue. */
    void start();

    /**
     * Reloads the feed's files.
     *
     * @throws IllegalArgumentException if a file is invalid; then nothing has changed
     */
    void reload();

    /** The feed's part of the status log line, as {@code name=value} pairs; called each second. */
    String details();
}
