package pathlane.lab;

/** Whoever is told what happened; its times are its own. */
@FunctionalInterface
public interface Witness {

    /** What can happen. */
    enum What {
        /** A caller has written a set-up whole, to {@code peer}. */
        ASKED,
        /** A caller was answered, refused or failed, or its set-up's connection ended. */
        ANSWERED, REFUSED, FAILED, BROKEN,
        /** A caller released a call that stood, to {@code peer}. */
        RELEASED,
        /** A caller was told that a call is over, by {@code peer}. */
        TOLD_OVER,
        /** A set-up reached a server, from {@code peer}. */
        REACHED,
        /** A server's attempt came to its end: it stands, was turned away, or was given up. */
        STOOD, TURNED_AWAY, GIVEN_UP,
        /** A server ended a call that stood there, or lost it with its process. */
        ENDED,
        /** A server heard a release, from {@code peer}. */
        HEARD_RELEASE,
        /** A server was told to drain, and the controllers with it; or it has gone. */
        DRAIN_TOLD, GONE,
        /** The rig did something to a process or a link, or read a line of a process's log. */
        DID, LOGGED
    }

    /**
     * Notes what happened now.
     *
     * @param who the caller, server or process that saw or suffered it
     * @param peer who is on the other side of it, empty where nobody is
     * @param call which call, empty where none
     * @param text more, for people
     */
    void note(What what, String who, String peer, String call, String text);
}
