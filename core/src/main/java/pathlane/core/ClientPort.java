package pathlane.core;

import java.time.Duration;
import pathlane.decision.Outcome;

/** The way back to whoever asked for a call. On the loop's thread; nothing blocks. */
public interface ClientPort {

    /** Stands for a client of which nothing is known: any connection will do. Nothing is written to it. */
    ClientPort UNKNOWN = new ClientPort() {
        @Override
        public void answer(String callId, byte[] description) {}

        @Override
        public void reject(String callId, Duration retryAfter) {}

        @Override
        public void fail(String callId) {}

        @Override
        public void release(String callId, Outcome outcome) {}
    };

    /** Final answer: the call is established; the description is the session server's, unchanged. */
    void answer(String callId, byte[] description);

    /** Final answer: rejected. Trying again is harmless, after a wait where one is stated. */
    void reject(String callId, Duration retryAfter);

    /** Final answer: it failed. */
    void fail(String callId);

    /** An established call has ended. */
    void release(String callId, Outcome outcome);

    /** What a server answered to something forwarded within an established call. */
    default void forwardReply(String callId, byte[] content) {}

    /** The answer to a request goes to another connection of the same client from now on. */
    default void superseded(String callId) {}

    /** By what name its clients are known to other controllers too; empty where any connection reaches them. */
    default String clientKey() {
        return "";
    }

    /** Whether this is a way to the clients of another port. */
    default boolean isSameClient(ClientPort other) {
        return true;
    }
}
