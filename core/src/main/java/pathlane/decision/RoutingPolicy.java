package pathlane.decision;

import java.util.List;

/**
 * Decides which session server a call is sent to, when it is sent, and which call is rejected. The embedding code passes
 * every event in time order, on one thread, and carries out the resulting {@link Actions} at once; events caused by an
 * action are passed after the current event has been handled. All times are milliseconds on one monotonic clock that the
 * embedding code chooses.
 */
public interface RoutingPolicy {

    /**
     * One entry of the server list.
     *
     * @param pool the pool number by which requests name the server
     * @param startedMs when the server's process started; 0 if long ago
     * @param weight the server's size relative to other servers; 0 if unknown
     */
    record ListedServer(long serverId, int pool, ServerStatus status, double startedMs, double weight) {}

    /**
     * A client's request for a call.
     *
     * @param callClass the index of the call class in the settings
     * @param destination what the call is for; null if no other call has the same destination
     * @param remainingMs how long the client still waits for its final answer
     * @param preferredPool the pool that the client asks for, or -1
     * @param isInTransit whether the call may be sent to its preferred pool only
     */
    record Request(String id, int callClass, String destination, double remainingMs, int preferredPool,
            boolean isInTransit) {

        /** The destination, or the call's id if the destination is null. */
        public String destinationOrId() {
            return destination == null ? id : destination;
        }
    }

    /** A server's free and total slots, and the load that it reports; a value that is missing is NaN. */
    record LoadReport(double freeSlots, double slots, double queuedRequests, double requestsPerSecond, double queueDelayMs,
            double cpuUtilization) {}

    /**
     * The end of one attempt, or of the call that it established.
     *
     * @param attempt the attempt's number within its call, from 0
     * @param isCallClosed whether the client has its final answer or has left, so that no further attempt is wanted
     * @param retryAfterMs the retry delay that the server asks for, or 0
     * @param report the load report that the server sent with the answer, or null
     */
    record AttemptResult(String callId, int attempt, long serverId, Outcome outcome, boolean isCallClosed, double elapsedMs,
            double retryAfterMs, LoadReport report) {}

    /** The actions that the policy requests from the embedding code. */
    interface Actions {
        /** Sends a request of this call to a server, and cancels it after the given time. */
        void send(String callId, long serverId, double giveUpAfterMs);

        /** Gives the final answer "rejected". The client may retry after the stated delay, if that is above 0. */
        void reject(String callId, double retryAfterMs);

        /** Gives the final answer "failed". */
        void fail(String callId);

        /** Stops waiting for an attempt. */
        void cancel(String callId, int attempt);

        /** Calls {@link RoutingPolicy#timerFired} after the given delay. */
        void scheduleTimer(double delayMs);

        /** Subscribes to changes of the server list. */
        void requestServerList();
    }

    /** The server list was received: the complete list, or only the changed entries. */
    void serversListed(double nowMs, boolean isComplete, List<ListedServer> entries);

    /** The request for the server list failed; the last known list stays in force. */
    void serverListFailed(double nowMs);

    /** A client's request was received. */
    void requestArrived(double nowMs, Request request);

    /** The server answered the request: the call is established there. */
    void callEstablished(double nowMs, String callId, int attempt, long serverId, double elapsedMs);

    /** An attempt, or the established call, ended. */
    void attemptEnded(double nowMs, AttemptResult result);

    /** The client has left; the call needs no final answer. */
    void clientLeft(double nowMs, String callId);

    /** A server's load report was received outside of an answer. */
    void loadReported(double nowMs, long serverId, LoadReport report);

    /** A timer requested through {@link Actions#scheduleTimer} fired. */
    void timerFired(double nowMs);
}
