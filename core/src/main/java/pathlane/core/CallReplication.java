package pathlane.core;

import java.time.Duration;
import java.util.function.Supplier;
import pathlane.decision.Gateway.Ending;

/**
 * Replicates the state of each call to other call controllers, so that one of them can go on with it, and says whether this
 * controller may still act on it. {@link CallController} notifies it before it writes the bytes that follow. No method
 * blocks: an implementation does its work after the turn. On the loop's thread.
 */
public interface CallReplication {

    /** No group: nothing is replicated, and nobody else acts. */
    CallReplication NONE = new CallReplication() { };

    /** A set-up is about to be sent and awaited for {@code patience}; {@code ending} has what ends it beside its id. */
    default void sent(String call, long server, Duration patience, CallerPort caller, Supplier<byte[]> ending) { }

    /** The attempt is over, and the call stands nowhere; nothing is sent for it before so long. */
    default void attemptOver(String call, long server, Duration wait, CallerPort caller) { }

    /** The call stands at a server. */
    default void stands(String call, long server, CallerPort caller) { }

    /** Writes the answer to a call that stands, at once or, for a class that waits for it, once the call is replicated. */
    default void answer(String call, int callClass, Runnable write) {
        write.run();
    }

    /** The end of a call is owed to its caller, whom no connection reaches now. */
    default void owesCaller(String call, CallerPort caller, Ending how) { }

    /** The release of a call waits for a connection to its server. */
    default void owesServer(String call, long server, byte[] ending) { }

    /** Nothing is left to do for the call. */
    default void over(String call) { }

    /** Whether this controller may write anything that concerns a call that stands here. Asked just before it does. */
    default boolean mayAct(String call) {
        return true;
    }

    /** Keeps what happened while this controller may not act, for itself later or for whoever acts by then. */
    default void park(CallEvent event) { }

    /**
     * Something happened to a call that is not known here. True: the group is asked who acts on it, and if nobody does,
     * {@link CallController#unowned} is told.
     */
    default boolean seesTo(CallEvent event) {
        return false;
    }

    /** How long nothing may be sent for a set-up under this id: another controller's attempt may be out. */
    default Duration heldBack(String call) {
        return Duration.ZERO;
    }
}
