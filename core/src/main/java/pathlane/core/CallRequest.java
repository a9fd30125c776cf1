package pathlane.core;

import java.time.Duration;

/**
 * A client's request for a call.
 *
 * @param callClass the index of the call class in the settings, or -1 if its name is not configured
 * @param destination the destination that the client named
 * @param remainingDeadline how long the client waits for the final answer, from when it sent the request
 * @param preferredPool the number of the pool that the client asked for, or -1
 * @param payload forwarded unchanged
 * @param mayHaveRun whether a server may have received this request before, according to the client
 */
public record CallRequest(String id, int callClass, String destination, Duration remainingDeadline, int preferredPool,
        byte[] payload, boolean mayHaveRun) {

    private static final byte[] NO_PAYLOAD = {};

    /** Creates a request that the client sends for the first time. */
    public CallRequest(String id, int callClass, String destination, Duration remainingDeadline, int preferredPool,
            byte[] payload) {
        this(id, callClass, destination, remainingDeadline, preferredPool, payload, false);
    }

    /** Creates a placeholder for the request of a call that another controller established; only its id is known. */
    static CallRequest ofEstablishedCall(String id) {
        return new CallRequest(id, -1, "", Duration.ZERO, -1, NO_PAYLOAD);
    }
}
