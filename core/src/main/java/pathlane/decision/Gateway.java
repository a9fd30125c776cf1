package pathlane.decision;

import java.util.List;

/**
 * What a gateway tells the decisions and what they tell it back. A user embeds {@link Logic}, which
 * implements this interface, hands it every event in order of time, and carries out the {@link Actions} at
 * once. All times are milliseconds on one monotonic clock of the user's choice.
 */
public interface Gateway {

    /** Whether a core server takes new set-ups, finishes its work, or is gone. */
    enum Mode { RUNNING, DRAINING, GONE }

    /** One line of the list of core servers; {@code startedMs} is nought for a start long ago. */
    record Listed(long server, int pool, Mode mode, double startedMs, double size) {}

    /** A call for the number dialled. In transit, it may go to its destination alone. */
    record Call(String id, int callClass, String number, double graceMs, int firstChoice,
            boolean inTransit) {}

    /** How an attempt ended. */
    enum Ending {
        /** The call stood and has ended. */
        COMPLETED,
        /** An error on the way. */
        ERROR,
        /** All lines of the number called are engaged. */
        ENGAGED,
        /** The server turned the set-up away; it never ran. */
        REJECTED,
        /** The server had no free line; it never ran. */
        NO_FREE_LINE,
        /** No answer came in time. */
        TIMED_OUT,
        /** The server could not be reached; the set-up never ran. */
        UNREACHABLE,
        /** The set-up or the standing call was cut. */
        RESET,
        /** The attempt was called off. */
        CANCELLED,
        /** Nothing was sent. */
        NOT_SENT
    }

    /** A server's free lines and all its lines, and its own word on its load; a figure that is not reported
     * is NaN. */
    record Report(double freeLines, double lines, double waiting, double setUpsPerSecond, double waitMs,
            double busy) {}

    /** The end of one attempt; {@code statedWaitMs} is the wait that the server asks for, or nought. */
    record Ended(String call, int attempt, long server, Ending how, boolean closed, double elapsedMs,
            double statedWaitMs, Report report) {}

    /** What the decisions ask the gateway to do. */
    interface Actions {
        /** Send a set-up of this call; give it up after so long. */
        void send(String call, long server, double giveUpAfterMs);

        /** Final answer: turned away. The caller may dial again, after the wait where one is advised. */
        void refuse(String call, double adviseMs);

        /** Final answer: it failed. */
        void fail(String call);

        /** Stop waiting for an attempt. */
        void cancel(String call, int attempt);

        /** Call {@link Gateway#woken} after so long. */
        void wakeAfter(double delayMs);

        /** Ask to be told of changes of the list. */
        void askForList();
    }

    /** The list arrived: the whole of it, or the changed lines alone. */
    void listed(double nowMs, boolean whole, List<Listed> lines);

    /** Asking for the list failed; the last one stays in force. */
    void listFailed(double nowMs);

    /** A caller's call came in. */
    void arrived(double nowMs, Call call);

    /** The server answered the set-up: the call stands. */
    void stands(double nowMs, String call, int attempt, long server, double elapsedMs);

    /** An attempt came to its end. */
    void ended(double nowMs, Ended end);

    /** The caller has gone; no answer is owed. */
    void left(double nowMs, String call);

    /** A server's load report came outside an answer. */
    void reported(double nowMs, long server, Report report);

    /** A time asked for by {@link Actions#wakeAfter} has come. */
    void woken(double nowMs);
}
