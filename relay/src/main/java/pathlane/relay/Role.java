package pathlane.relay;

import pathlane.discovery.Catalogue;
import pathlane.discovery.Publisher;
import pathlane.transport.Protocol;

/** The service behind a program's listening port: a source or a relay. Runs on the event loop's thread. */
interface Role {

    /** The role's name in the log. */
    String title();

    /** Creates the protocol state machine for a subscriber's connection. */
    Protocol accept();

    Publisher publisher();

    /** The catalogue that is published, with its revision and completeness. */
    Catalogue catalogue();

    /** Starts to fill the catalogue. */
    void start();

    /**
     * Reloads the role's files, if it has any.
     *
     * @throws IllegalArgumentException if a file is invalid; then nothing has changed
     */
    void reload();

    /** Stops the feeding of the catalogue that {@link #start} began; subscribers are still served. */
    void stop();

    /** The role's part of the status log line, as {@code name=value} pairs; called each second. */
    String details();
}
