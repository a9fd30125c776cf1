package pathlane.core;

import java.time.Duration;
import pathlane.decision.Outcome;

/** Sends answers and notifications to the client that requested a call. Runs on the event loop's thread; nothing blocks. */
public interface ClientPort {

    /** Placeholder for an unknown client, for which any connection may be used. Nothing is written to it. */
    ClientPort UNKNOWN = new NamedClient("");

    /** Sends the final answer that the call is established; the description is the session server's, unchanged. */
    void answer(String callId, byte[] description);

    /** Sends the final answer that the call is rejected. A retry is safe, after the retry-after if it is not zero. */
    void reject(String callId, Duration retryAfter);

    /** Sends the final answer that the call failed. */
    void fail(String callId);

    /** Notifies the client that an established call has ended. */
    void release(String callId, Outcome outcome);

    /** Forwards a server's reply to a message forwarded within an established call. */
    default void forwardReply(String callId, byte[] content) {}

    /**
     * Returns whether the client repeats its unanswered requests over another connection when this one ends. A client that
     * does not has given them up with the connection.
     */
    default boolean repeatsRequests() {
        return false;
    }

    /** Called when the answer to a request goes to another connection of the same client from now on. */
    default void superseded(String callId) {}

    /** Returns the key by which all controllers identify this client; empty if any connection reaches it. */
    default String clientKey() {
        return "";
    }

    /** Returns whether this port leads to the same client as another port. */
    default boolean isSameClient(ClientPort other) {
        return true;
    }
}
