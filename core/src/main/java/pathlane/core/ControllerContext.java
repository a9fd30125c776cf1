package pathlane.core;

import java.time.Duration;
import pathlane.config.Settings;

/**
 * What the parts of a call controller share. On the loop's thread.
 *
 * @param settings with {@link #RETRY_MARGIN} added to the rule's retry delay, so that the policy keeps the longer one
 */
record ControllerContext(Settings settings, Scheduler scheduler, Counters counters, CallReplication replication,
        PolicyEventQueue policyEvents, ClientConnections clients, CallTable calls) {

    /** Added to the rule's retry delay: the cancellation of an attempt may reach its server later than the next attempt. */
    static final Duration RETRY_MARGIN = Duration.ofMillis(15);

    /** The rule's own retry delay. */
    Duration retryDelay() {
        return settings.rules().retryDelay().minus(RETRY_MARGIN);
    }

    /** Takes a call off the table; it is remembered as over for a while, and its replicas are dropped. */
    void complete(Call call) {
        calls.remove(call);
        clients.callEnded(call.id());
        replication.callCompleted(call.id());
    }
}
