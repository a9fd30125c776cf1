package pathlane.handover;

import java.time.Duration;
import pathlane.core.ClientPort;
import pathlane.decision.Outcome;

/** The caller of a call that another member set up: known by name alone, and reached by whichever connection reaches it. */
record AdoptedClient(String clientKey) implements ClientPort {

    @Override
    public void answer(String call, byte[] description) {
        throw new IllegalStateException("call " + call + " was answered before");
    }

    @Override
    public void reject(String call, Duration comeBackAfter) {
        throw new IllegalStateException("call " + call + " was answered before");
    }

    @Override
    public void fail(String call) {
        throw new IllegalStateException("call " + call + " was answered before");
    }

    @Override
    public void release(String call, Outcome how) {
        throw new IllegalStateException("call " + call + " has no connection of its own");
    }
}
