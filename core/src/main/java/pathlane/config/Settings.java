package pathlane.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a call controller, fixed at its start. The simulator's first message and the configuration of a real call
 * controller contain the same object ({@link SettingsReader} reads both). A number that is absent and optional is zero.
 * Immutable.
 *
 * @param controllerCount the number of call controllers that share the servers, including this one; at least 1
 * @param maxAttempts the maximum number of attempts of a call, at least 1
 * @param tick the resolution of the policy's clock
 * @param retransmitInterval the interval after which the transport below retransmits an unanswered request; zero for never
 * @param canCancel whether an attempt can be cancelled at its server
 * @param mustRequestServerList whether the server list is sent only on request
 * @param ownPool the pool that this controller itself belongs to, to which it sends no requests; -1 for none
 * @param connectTimeout how long opening a connection may take
 * @param idleTimeout how long an unused connection to a server is kept open
 * @param maxRetryAfter the longest retry-after that a client honours; zero if clients are sent none
 * @param slowStartSenders empty if the servers' full rate is not configured; the policy then estimates it
 */
public record Settings(List<CallClass> classes, Rules rules, int controllerCount, int maxAttempts, Duration tick,
        Duration retransmitInterval, boolean canCancel, boolean mustRequestServerList, int ownPool,
        Duration connectTimeout, Duration idleTimeout, Duration maxRetryAfter,
        Optional<SlowStartSenders> slowStartSenders) {

    /**
     * The senders that share the slow-start budget of servers whose full rate is configured.
     *
     * @param requestsPerSecond the full rate of a server after its slow start; above zero, finite
     * @param senderCount the number of senders, including this one; at least 1
     * @param ownIndex the index of this sender, from 0
     */
    public record SlowStartSenders(double requestsPerSecond, int senderCount, int ownIndex) {

        /** @throws InvalidSettingException if a value is out of range */
        public SlowStartSenders {
            require(requestsPerSecond > 0 && !Double.isInfinite(requestsPerSecond), "set-ups-per-second");
            require(senderCount > 0, "senders");
            require(ownIndex >= 0 && ownIndex < senderCount, "number");
        }
    }

    /**
     * A class of calls.
     *
     * @param latencyObjective the time within which a call should be established
     * @param deadline how long a client waits for the final answer, including all its retries of a call
     * @param priorityWeight the value of a call that is established within the latency objective
     * @param lateWeight the fraction of that value that a call established later still has
     * @param slots how many of a server's slots a call occupies, at least 1
     * @param isIdempotent whether a request that may have been executed may be sent again
     * @param allowedPools the pools that may handle the class; empty for all
     */
    public record CallClass(String name, Duration latencyObjective, Duration deadline, double priorityWeight,
            double lateWeight, int slots, boolean isIdempotent, List<Integer> allowedPools) {

        /** @throws InvalidSettingException if a value is out of range */
        public CallClass {
            require(latencyObjective.compareTo(Duration.ZERO) > 0, "aim");
            require(deadline.compareTo(Duration.ZERO) > 0, "deadline");
            require(slots > 0, "width");
        }

        /** Returns the latency objective in milliseconds. */
        public double latencyObjectiveMs() {
            return Millis.of(latencyObjective);
        }

        /** Returns the deadline in milliseconds. */
        public double deadlineMs() {
            return Millis.of(deadline);
        }

        /** Returns the priority weight per slot that a call occupies. */
        public double utility() {
            return priorityWeight / slots;
        }

        /** Returns whether servers of a pool may handle the class. */
        public boolean allows(int pool) {
            return allowedPools.isEmpty() || allowedPools.contains(pool);
        }
    }

    /**
     * The parameters of slow start and of retries.
     *
     * @param slowStartFraction the fraction of its full rate at which a server starts
     * @param slowStart how long a server takes to reach its full rate
     * @param overloadFactor a server in slow start fails at this multiple of the rate that it can currently handle
     * @param overloadWindow the time window over which its actual rate is measured
     * @param retryDelay how long no request is sent for a call after an attempt was lost
     */
    public record Rules(double slowStartFraction, Duration slowStart, double overloadFactor, Duration overloadWindow,
            Duration retryDelay) {

        /** @throws InvalidSettingException if a value is out of range */
        public Rules {
            require(slowStartFraction > 0, "cold-from");
            require(!slowStart.isNegative(), "cold-ms");
            require(overloadFactor > 0, "fall-multiple");
            require(overloadWindow.compareTo(Duration.ZERO) > 0, "fall-ms");
            require(!retryDelay.isNegative(), "clear wait");
        }

        /** Returns the duration of a slow start in milliseconds. */
        public double slowStartMs() {
            return Millis.of(slowStart);
        }

        /** Returns the overload window in milliseconds. */
        public double overloadWindowMs() {
            return Millis.of(overloadWindow);
        }

        /** Returns the retry delay in milliseconds. */
        public double retryDelayMs() {
            return Millis.of(retryDelay);
        }
    }

    /** @throws InvalidSettingException if a value is out of range */
    public Settings {
        require(!classes.isEmpty(), "classes");
        require(controllerCount > 0, "balancers");
        require(maxAttempts > 0, "max attempts");
    }

    /** Returns the tick in milliseconds. */
    public double tickMs() {
        return Millis.of(tick);
    }

    /** Returns the retransmission interval in milliseconds. */
    public double retransmitMs() {
        return Millis.of(retransmitInterval);
    }

    /** Returns the longest retry-after that a client honours, in milliseconds. */
    public double maxRetryAfterMs() {
        return Millis.of(maxRetryAfter);
    }

    /** Returns an upper bound on any client's wait: a client waits at most slightly longer than its class's deadline. */
    public Duration longestDeadline() {
        return classes.stream().map(CallClass::deadline).max(Duration::compareTo).orElseThrow().multipliedBy(2);
    }

    /** Returns the index of the class with this name, or -1 if there is none. */
    public int indexOfClass(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns these settings with another retry delay. */
    public Settings withRetryDelay(Duration retryDelay) {
        Rules changed = new Rules(rules.slowStartFraction, rules.slowStart, rules.overloadFactor, rules.overloadWindow,
                retryDelay);
        return new Settings(classes, changed, controllerCount, maxAttempts, tick, retransmitInterval, canCancel,
                mustRequestServerList, ownPool, connectTimeout, idleTimeout, maxRetryAfter, slowStartSenders);
    }

    /** Returns these settings for a protocol without cancellation: attempts end by answer, timeout or connection loss. */
    public Settings withoutCancellation() {
        return new Settings(classes, rules, controllerCount, maxAttempts, tick, retransmitInterval, false,
                mustRequestServerList, ownPool, connectTimeout, idleTimeout, maxRetryAfter, slowStartSenders);
    }

    private static void require(boolean isMet, String setting) {
        if (!isMet) {
            throw new InvalidSettingException(setting);
        }
    }
}
