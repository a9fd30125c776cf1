package pathlane.lab;

/** Records observed events, with timestamps of its own clock. */
@FunctionalInterface
public interface EventRecorder {

    /** Kinds of events. */
    enum EventKind {
        /** A client has sent a call request to {@code peer}. */
        ASKED,
        /** A request was answered, refused or failed, or its connection closed first. */
        ANSWERED, REFUSED, FAILED, BROKEN,
        /** A client released an established call through {@code peer}. */
        RELEASED,
        /** A client was notified by {@code peer} that a call has ended. */
        TOLD_OVER,
        /** An attempt reached a server, from {@code peer}. */
        REACHED,
        /** An attempt at a server completed: the call was established, rejected, or the attempt was abandoned. */
        STOOD, TURNED_AWAY, GIVEN_UP,
        /** A server ended an established call, or lost it in a crash. */
        ENDED,
        /** A server received a release from {@code peer}. */
        HEARD_RELEASE,
        /** A server's drain was announced to it and the controllers; or the server is gone. */
        DRAIN_TOLD, GONE,
        /** The test bed acted on a process or a link, or read a line of a process's log. */
        DID, LOGGED
    }

    /**
     * Records an event that happened now.
     *
     * @param who the client, server or process that observed or was affected by it
     * @param peer the other party, empty if there is none
     * @param call the call's id, empty if there is none
     * @param text details for people
     */
    void record(EventKind what, String who, String peer, String call, String text);
}
