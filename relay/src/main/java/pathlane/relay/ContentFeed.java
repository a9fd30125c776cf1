package pathlane.relay;

import pathlane.discovery.Source;

/** Where a source's content comes from. On the loop's thread. */
interface ContentFeed {

    /** Makes the feed of a source, once the source has its epoch. */
    interface Factory {
        ContentFeed into(Source source);
    }

    /** Begins to fill the source's catalogue. */
    void start();

    /**
     * Reads its files again.
     *
     * @throws IllegalArgumentException with a sentence where one can't be used; then nothing has changed
     */
    void reload();

    /** What it adds to the line of the log, as {@code name=value} pairs; called each second. */
    String details();
}
