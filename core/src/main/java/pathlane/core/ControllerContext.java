package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import pathlane.config.Settings;

/**
 * The state that the parts of a call controller share. Used on the event loop's thread.
 *
 * @param settings with {@link #RETRY_MARGIN} added to the configured retry delay, so that the policy keeps the longer one
 */
record ControllerContext(Settings settings, Scheduler scheduler, Counters counters, CallReplication replication,
        PolicyEventQueue policyEvents, ClientConnections clients, CallTable calls, EndedCalls endedCalls,
        PortGuard portGuard) {

    /** Added to the configured retry delay: an attempt's cancellation may reach its server after the next attempt. */
    static final Duration RETRY_MARGIN = Duration.ofMillis(15);

    /** Returns the configured retry delay, without the margin. */
    Duration retryDelay() {
        return settings.rules().retryDelay().minus(RETRY_MARGIN);
    }

    /** Removes a call from the table, remembers for a while that it has ended, and drops its replicas. */
    void complete(Call call) {
        calls.remove(call);
        endedCalls.add(call.id(), restrictionsAfter(call), scheduler.now());
        replication.callCompleted(call.id());
    }

    /** An attempt that is in flight as its call ends is given up, which counts as lost. */
    private EndedCalls.EndedCall restrictionsAfter(Call call) {
        Instant notBefore = call.isInFlight() ? scheduler.now().plus(retryDelay()) : call.notBefore();
        boolean mayHaveRun = call.isInFlight() || call.mayHaveRun();
        return new EndedCalls.EndedCall(mayHaveRun ? notBefore.plus(RETRY_MARGIN) : notBefore, mayHaveRun);
    }
}
