package pathlane.decision;

import java.util.List;

/**
 * Decides which session server a call goes to, when, and which call is rejected. A user hands it every event in order of
 * time, on one thread, and carries out its {@link Actions} at once; events that these bring about are handed over after the
 * event that is being handled. All times are milliseconds on one monotonic clock of the user's choice.
 */
public interface RoutingPolicy {

    /**
     * One entry of the list of servers.
     *
     * @param pool the number by which requests name the server
     * @param startedMs when its process started; nought for long ago
     * @param weight its size beside others'; nought where that is not known
     */
    record ListedServer(long serverId, int pool, ServerStatus status, double startedMs, double weight) {}

    /**
     * A client's request for a call.
     *
     * @param callClass the class's place in the settings
     * @param destination what the call is for; null where it shares that with no other
     * @param remainingMs how long the client still waits for its final answer
     * @param preferredPool the pool that the client asks for, or -1
     * @param isInTransit whether it may go to its preferred pool alone
     */
    record Request(String id, int callClass, String destination, double remainingMs, int preferredPool,
            boolean isInTransit) {

        /** The destination, or the call's id for one that shares it with no other. */
        public String destinationOrId() {
            return destination == null ? id : destination;
        }
    }

    /** A server's free slots and all its slots, and its own report of its load; a figure that it lacks is NaN. */
    record LoadReport(double freeSlots, double slots, double queued, double requestsPerSecond, double queueMs,
            double busy) {}

    /**
     * The end of one attempt, or of the call that it established.
     *
     * @param attempt the attempt's number within its call, from 0
     * @param isCallClosed whether the client has its final answer or has left: no other attempt is wanted
     * @param retryAfterMs the wait that the server asks for, or nought
     * @param report what the server reported with it, or null
     */
    record AttemptResult(String callId, int attempt, long serverId, Outcome outcome, boolean isCallClosed, double elapsedMs,
            double retryAfterMs, LoadReport report) {}

    /** What the policy asks its user to do. */
    interface Actions {
        /** Send a request of this call; cancel it after so long. */
        void send(String callId, long serverId, double giveUpAfterMs);

        /** Final answer: rejected. The client may try again, after the wait where one is stated. */
        void reject(String callId, double retryAfterMs);

        /** Final answer: it failed. */
        void fail(String callId);

        /** Stop waiting for an attempt. */
        void cancel(String callId, int attempt);

        /** Call {@link RoutingPolicy#timerFired} after so long. */
        void scheduleTimer(double delayMs);

        /** Ask to be told of changes of the list of servers. */
        void requestServerList();
    }

    /** The list of servers arrived: the whole of it, or the changed entries alone. */
    void serversListed(double nowMs, boolean isWhole, List<ListedServer> entries);

    /** Asking for the list failed; the last one stays in force. */
    void serverListFailed(double nowMs);

    /** A client's request came in. */
    void requestArrived(double nowMs, Request request);

    /** The server answered the request: the call is established there. */
    void callEstablished(double nowMs, String callId, int attempt, long serverId, double elapsedMs);

    /** An attempt, or the established call, came to its end. */
    void attemptEnded(double nowMs, AttemptResult result);

    /** The client has gone; no answer is owed. */
    void clientLeft(double nowMs, String callId);

    /** A server's load report came outside an answer. */
    void loadReported(double nowMs, long serverId, LoadReport report);

    /** A time asked for by {@link Actions#scheduleTimer} has come. */
    void timerFired(double nowMs);
}
