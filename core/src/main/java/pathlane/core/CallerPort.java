package pathlane.core;

import java.time.Duration;
import pathlane.decision.Gateway.Ending;

/** The way back to whoever asked for a call. */
public interface CallerPort {

    /** The call stands; the description is the session server's, unchanged. */
    void answer(String call, byte[] description);

    /** Turned away: trying again is harmless, after a wait where one is advised. */
    void refuse(String call, Duration comeBackAfter);

    /** It failed. */
    void fail(String call);

    /** A call that stood is over. */
    void release(String call, Ending how);

    /** What a server answered to something passed on within a call that stands. */
    default void passBack(String call, byte[] content) {}

    /** The answer to a set-up goes to another connection of the same caller from now on. */
    default void takenOver(String call) {}

    /** By what name its callers are known to other controllers too; empty where any connection reaches them. */
    default String key() {
        return "";
    }

    /** Whether this is a way to the callers of another port, or, for null, of one that isn't known. */
    default boolean reaches(CallerPort other) {
        return true;
    }
}
