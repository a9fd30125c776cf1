package pathlane.core;

import java.time.Duration;
import java.util.Optional;
import pathlane.decision.Outcome;

/** Sends messages to one session server; its messages go to {@link CallController}. Runs on the event loop's thread. */
public interface ServerPort {

    /**
     * Sends a request.
     *
     * @param timeout how long the attempt may take
     * @param mayHaveRun whether an earlier attempt of the call may have reached a server
     */
    void sendRequest(CallRequest request, Duration timeout, boolean mayHaveRun);

    /** Cancels a request: responses to it are ignored from now on. */
    void cancel(String callId);

    /** Releases a call that is established at the server; the content is the client's, empty if there is none. */
    void release(String callId, Outcome outcome, byte[] content);

    /**
     * Releases a call that is established at an unknown server, without opening a connection for it alone. The content is
     * the client's, empty if there is none; nothing is sent if it names another server.
     */
    default void releaseUnknown(String callId, byte[] content) {
        release(callId, Outcome.COMPLETED, content);
    }

    /** Forwards a client's message within an established call, and its reply back; returns false if it can't be sent now. */
    default boolean forward(String callId, byte[] content, ClientPort from) {
        return false;
    }

    /**
     * Returns the token with which another controller could release a call, if the release waits here for a connection;
     * {@link CallController#releaseSent} is called once it is sent.
     */
    default Optional<byte[]> pendingReleaseToken(String callId) {
        return Optional.empty();
    }

    /** Returns what another controller needs in addition to the id to end this request's call; empty if nothing. */
    default byte[] releaseToken(CallRequest request) {
        return new byte[0];
    }

    /** Accepts messages for a call that another controller requested and that may be established at the server. */
    default void adopt(String callId, byte[] releaseToken) {}

    /** Handles the draining of the server: unsent requests are returned, calls in progress continue. */
    void drain();

    /** Closes all connections to the server, which was removed from the server list. */
    void close();
}
