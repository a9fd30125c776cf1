package pathlane.relay;

import pathlane.discovery.Catalogue;
import pathlane.discovery.Publisher;
import pathlane.transport.Protocol;

/** What a program does behind its listening port: a source or a relay. On the loop's thread. */
interface Role {

    /** The word for it in the log. */
    String title();

    /** The state machine for a subscriber's connection. */
    Protocol accept();

    Publisher publisher();

    /** Whether the whole catalogue is held, and up to which revision. */
    Catalogue catalogue();

    /** Begins to fill the catalogue. */
    void start();

    /**
     * Reads files again, where the role has any.
     *
     * @throws IllegalArgumentException with a sentence where one can't be used; then nothing has changed
     */
    void reload();

    /** Ends what {@link #start} began; subscribers are still served. */
    void stop();

    /** What the role adds to the line of the log, as {@code name=value} pairs; called each second. */
    String details();
}
