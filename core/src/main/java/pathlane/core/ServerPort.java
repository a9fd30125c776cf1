package pathlane.core;

import java.time.Duration;
import java.util.Optional;
import pathlane.decision.Gateway.Ending;

/** The way to one session server. What it says comes back through {@link CallController}. */
public interface ServerPort {

    /**
     * Sends a set-up.
     *
     * @param patience how long it will be waited for
     * @param mayHaveRun whether an earlier attempt of the call may have reached a server
     */
    void setUp(SetUp setUp, Duration patience, boolean mayHaveRun);

    /** A set-up is given up: nothing that comes for it counts any more. */
    void giveUp(String call);

    /** A call that stands there is released; the content is the caller's, empty where there is none. */
    void release(String call, Ending how, byte[] content);

    /** A call that stands at some server, not known which, is released: nothing is opened for it alone. */
    default void releaseUnknown(String call) {
        release(call, Ending.COMPLETED, new byte[0]);
    }

    /** Passes on something within a call that stands; false where it can't be sent now. */
    default boolean pass(String call, byte[] content) {
        return false;
    }

    /**
     * Whether the release of a call waits here for a connection, and if so with what another controller would need to make
     * it beside the call's id; {@link CallController#releaseLeft} is told when it leaves.
     */
    default Optional<byte[]> waiting(String call) {
        return Optional.empty();
    }

    /** What another controller would need beside its id to end the call that this set-up begins; empty where nothing is. */
    default byte[] ending(SetUp setUp) {
        return new byte[0];
    }

    /** A call may stand there that another controller set up: what ends it is to be heard here from now on. */
    default void adopted(String call, byte[] ending) {}

    /** The server takes nothing new: what has not left yet comes back, what runs goes on. */
    void drain();

    /** The server has gone from the list: everything towards it ends. */
    void close();
}
