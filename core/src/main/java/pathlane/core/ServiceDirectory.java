package pathlane.core;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Maps each call to its service, and tracks whether the servers of that service are known. Calls of a service go to its
 * servers alone. Runs on the event loop's thread.
 */
public interface ServiceDirectory {

    /** The service of all calls and servers if only one service is configured. */
    String ONLY_SERVICE = "";

    /** A directory with {@link #ONLY_SERVICE} alone, whose servers count as known from the start. */
    ServiceDirectory SINGLE_SERVICE = new ServiceDirectory() {};

    /** Returns the service whose servers may handle a call; empty if there is none. */
    default Optional<String> serviceOf(CallRequest request) {
        return Optional.of(ONLY_SERVICE);
    }

    /** Called when a call of this service arrives; returns whether the service's servers are known. */
    default boolean requireService(String service) {
        return true;
    }

    /**
     * Waits for the servers of a service that are not known.
     *
     * @param timeout how long the call can wait
     * @param onKnown run once they are known
     * @param onTimeout run if they are not known in time, with the retry-after for the client
     */
    default void awaitService(String service, Duration timeout, Runnable onKnown, Consumer<Duration> onTimeout) {
        onKnown.run();
    }
}
