package pathlane.core;

import java.time.Duration;

/**
 * A client's request for a call.
 *
 * @param callClass the class's place in the settings, or -1 where its name is not among them
 * @param destination what the call is for
 * @param remainingDeadline how long the client waits from when it sent the request
 * @param preferredPool the number of the server asked for, or -1
 * @param payload passed on unchanged
 */
public record CallRequest(String id, int callClass, String destination, Duration remainingDeadline, int preferredPool,
        byte[] payload) {

    private static final byte[] NO_PAYLOAD = {};

    /** What is known of the request of a call that another controller established: its id alone. */
    static CallRequest ofEstablishedCall(String id) {
        return new CallRequest(id, -1, "", Duration.ZERO, -1, NO_PAYLOAD);
    }
}
