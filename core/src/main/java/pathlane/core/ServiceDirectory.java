package pathlane.core;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Which service each call belongs to, and whether the servers of that service are known yet. Calls of a service go to its
 * servers alone. On the loop's thread.
 */
public interface ServiceDirectory {

    /** The service of all calls and servers where services are not told apart. */
    String ONLY_SERVICE = "";

    /** All calls and servers are of {@link #ONLY_SERVICE}, whose servers count as known from the start. */
    ServiceDirectory ONE = new ServiceDirectory() {};

    /** The service whose servers may take a call; empty where there is none. */
    default Optional<String> serviceOf(CallRequest request) {
        return Optional.of(ONLY_SERVICE);
    }

    /** A call of this service has come. Says whether its servers are known. */
    default boolean requireService(String service) {
        return true;
    }

    /**
     * Waits for the servers of a service that are not known.
     *
     * @param atMost how long the call can wait
     * @param known run once they are known
     * @param unknown run where they are not known in time, with the wait after which a retry makes sense
     */
    default void awaitService(String service, Duration atMost, Runnable known, Consumer<Duration> unknown) {
        known.run();
    }
}
