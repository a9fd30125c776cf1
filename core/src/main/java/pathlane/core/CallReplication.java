package pathlane.core;

import java.time.Duration;
import java.util.function.Supplier;
import pathlane.decision.Outcome;

/**
 * Replicates the state of each call to other call controllers, so that one of them can go on with it, and says whether this
 * controller may still act on it. {@link CallController} notifies it before it writes the bytes that follow. No method
 * blocks: an implementation does its work after the turn. On the loop's thread.
 */
public interface CallReplication {

    /** No group: nothing is replicated, and nobody else acts. */
    CallReplication NONE = new CallReplication() {};

    /**
     * A request is about to be sent.
     *
     * @param giveUpAfter how long it is waited for
     * @param releaseToken what ends the call at its server beside its id
     */
    default void attemptStarted(String callId, long serverId, Duration giveUpAfter, ClientPort client,
            Supplier<byte[]> releaseToken) {}

    /** The attempt is over without an established call; nothing is sent for the call before the wait is over. */
    default void attemptEnded(String callId, long serverId, Duration wait, ClientPort client) {}

    /** The call is established at a server. */
    default void callEstablished(String callId, long serverId, ClientPort client) {}

    /** Writes the answer to a call, at once or, for a class that waits for it, once the call is replicated. */
    default void deliverAnswer(String callId, int callClass, Runnable write) {
        write.run();
    }

    /** The client has yet to be told of the call's end: no connection reaches it now. */
    default void clientReleasePending(String callId, ClientPort client, Outcome outcome) {}

    /** The call's server has yet to be told of its release: that waits for a connection. */
    default void serverReleasePending(String callId, long serverId, byte[] releaseToken) {}

    /** Nothing is left to do for the call. */
    default void callCompleted(String callId) {}

    /** Whether this controller may write anything that concerns an established call. Asked just before it does. */
    default boolean mayAct(String callId) {
        return true;
    }

    /** Keeps an event while this controller may not act, for itself later or for whoever acts by then. */
    default void defer(CallEvent event) {}

    /**
     * An event concerns a call that is not known here.
     *
     * @return whether the group is asked who acts on it; if nobody does, {@link CallController#handleUnowned} is told
     */
    default boolean delegate(CallEvent event) {
        return false;
    }

    /** How long nothing may be sent for a request under this id: another controller's attempt may be out. */
    default Duration delayBeforeFirstAttempt(String callId) {
        return Duration.ZERO;
    }
}
