package pathlane.handover;

import java.time.Duration;
import pathlane.core.ClientPort;
import pathlane.decision.Outcome;

/** The client of a call that another member established: known by name only, and reached by any connection to it. */
record AdoptedClient(String clientKey) implements ClientPort {

    @Override
    public void answer(String callId, byte[] description) {
        throw new IllegalStateException("call " + callId + " was already answered");
    }

    @Override
    public void reject(String callId, Duration retryAfter) {
        throw new IllegalStateException("call " + callId + " was already answered");
    }

    @Override
    public void fail(String callId) {
        throw new IllegalStateException("call " + callId + " was already answered");
    }

    @Override
    public void release(String callId, Outcome outcome) {
        throw new IllegalStateException("call " + callId + " has no connection of its own");
    }
}
