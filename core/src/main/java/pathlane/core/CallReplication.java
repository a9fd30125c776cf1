package pathlane.core;

import java.time.Duration;
import java.util.function.Supplier;
import pathlane.decision.Outcome;

/**
 * Replicates the state of each call to other call controllers, so that one of them can adopt it, and decides whether this
 * controller may still act on it. {@link CallController} notifies it before it writes the corresponding messages. No method
 * blocks: an implementation does its work after the current loop iteration. Runs on the event loop's thread.
 */
public interface CallReplication {

    /** For a controller that belongs to no group: nothing is replicated, and no other controller acts. */
    CallReplication NONE = new CallReplication() {};

    /**
     * Called when a request is about to be sent.
     *
     * @param timeout how long the attempt may take
     * @param releaseToken what the server needs in addition to the id to end the call
     */
    default void attemptStarted(String callId, long serverId, Duration timeout, ClientPort client,
            Supplier<byte[]> releaseToken) {}

    /** Called when an attempt ended without establishing its call; nothing is sent for the call before the wait is over. */
    default void attemptEnded(String callId, long serverId, Duration wait, ClientPort client) {}

    /** Called when a call is established at a server. */
    default void callEstablished(String callId, long serverId, ClientPort client) {}

    /** Writes the answer to a call: at once or, for a class that requires it, as soon as the call is replicated. */
    default void deliverAnswer(String callId, int callClass, Runnable write) {
        write.run();
    }

    /** Called when the client could not be notified of the call's end, since it has no connection now. */
    default void clientReleasePending(String callId, ClientPort client, Outcome outcome) {}

    /** Called when the release to the call's server waits for a connection. */
    default void serverReleasePending(String callId, long serverId, byte[] releaseToken) {}

    /** Called when nothing is left to do for the call. */
    default void callCompleted(String callId) {}

    /** Returns whether this controller may write a message of an established call. Called just before it does. */
    default boolean mayAct(String callId) {
        return true;
    }

    /** Keeps an event while this controller may not act, for whichever controller owns the call later. */
    default void defer(CallEvent event) {}

    /**
     * Passes an event of a call that is unknown here to the group.
     *
     * @return whether the group is asked for the call's owner; if it has none, {@link CallController#handleUnowned} follows
     */
    default boolean delegate(CallEvent event) {
        return false;
    }

    /** Returns how long no request with this id may be sent: another controller's attempt may still be in flight. */
    default Duration delayBeforeFirstAttempt(String callId) {
        return Duration.ZERO;
    }
}
