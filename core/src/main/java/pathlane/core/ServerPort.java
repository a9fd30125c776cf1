package pathlane.core;

import java.time.Duration;
import java.util.Optional;
import pathlane.decision.Outcome;

/** The way to one session server. What it says comes back through {@link CallController}. On the loop's thread. */
public interface ServerPort {

    /**
     * Sends a request.
     *
     * @param giveUpAfter how long it will be waited for
     * @param mayHaveRun whether an earlier attempt of the call may have reached a server
     */
    void sendRequest(CallRequest request, Duration giveUpAfter, boolean mayHaveRun);

    /** A request is given up: nothing that comes for it counts any more. */
    void cancel(String callId);

    /** A call that is established there is released; the content is the client's, empty where there is none. */
    void release(String callId, Outcome outcome, byte[] content);

    /** A call that is established at some server, not known which, is released: nothing is opened for it alone. */
    default void releaseUnknown(String callId) {
        release(callId, Outcome.COMPLETED, new byte[0]);
    }

    /** Forwards something within an established call; false where it can't be sent now. */
    default boolean forward(String callId, byte[] content) {
        return false;
    }

    /**
     * Whether the release of a call waits here for a connection, and if so with the token by which another controller could
     * make it; {@link CallController#releaseSent} is told when it leaves.
     */
    default Optional<byte[]> pendingRelease(String callId) {
        return Optional.empty();
    }

    /** What another controller would need beside its id to end the call that this request begins; empty where nothing is. */
    default byte[] releaseToken(CallRequest request) {
        return new byte[0];
    }

    /** A call may be established there that another controller requested: what ends it is to be heard here from now on. */
    default void adopt(String callId, byte[] releaseToken) {}

    /** The server takes nothing new: what has not left yet comes back, what runs goes on. */
    void drain();

    /** The server has gone from the list: everything towards it ends. */
    void close();
}
