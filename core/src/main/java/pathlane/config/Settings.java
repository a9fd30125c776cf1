package pathlane.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a call controller is told once, when it starts: the only settings type. The simulator's first message and the
 * configuration of a real call controller hold the same object ({@link SettingsReader} reads both). An absent figure that
 * has no meaning is nought. Immutable.
 *
 * @param controllerCount call controllers that share the servers, this one included; from 1
 * @param maxAttempts of a call, from 1
 * @param tick the resolution of the policy's time
 * @param retransmitInterval a request that waits is sent again after this by the transport below; nought for never
 * @param canCancel whether an attempt can be called off at its server
 * @param mustRequestServerList whether the list of servers comes only where it is asked for
 * @param ownPool the pool that this controller itself belongs to, which it sends nothing to; -1 for none
 * @param connectTimeout how long a connection may take to come up
 * @param idleTimeout how long a connection to a server is kept without use
 * @param maxRetryAfter the longest wait that a client honours; nought where clients are told none
 * @param slowStartSenders empty where servers' speed is not stated: the policy then learns it
 */
public record Settings(List<CallClass> classes, Rules rules, int controllerCount, int maxAttempts, Duration tick,
        Duration retransmitInterval, boolean canCancel, boolean mustRequestServerList, int ownPool,
        Duration connectTimeout, Duration idleTimeout, Duration maxRetryAfter,
        Optional<SlowStartSenders> slowStartSenders) {

    /**
     * Senders that share the slow-start budget of servers whose speed is stated.
     *
     * @param requestsPerSecond what a warm server can do; above nought, finite
     * @param senderCount how many there are, this one included; from 1
     * @param ownIndex this one's, from 0
     */
    public record SlowStartSenders(double requestsPerSecond, int senderCount, int ownIndex) {

        /** @throws InvalidSettingException where a figure is out of its range */
        public SlowStartSenders {
            require(requestsPerSecond > 0 && !Double.isInfinite(requestsPerSecond), "set-ups-per-second");
            require(senderCount > 0, "senders");
            require(ownIndex >= 0 && ownIndex < senderCount, "number");
        }
    }

    /**
     * A class of calls.
     *
     * @param latencyObjective how soon a call should be established
     * @param deadline how long a client waits for its final answer, over all its requests for the same
     * @param priorityWeight what a call that is established in time is worth
     * @param lateWeight the share of that which is left of a call that is established late
     * @param slots what a call takes of a server's slots, from 1
     * @param isIdempotent whether a request that may have run may be sent again
     * @param allowedPools the pools that may take it; empty for all
     */
    public record CallClass(String name, Duration latencyObjective, Duration deadline, double priorityWeight,
            double lateWeight, int slots, boolean isIdempotent, List<Integer> allowedPools) {

        /** @throws InvalidSettingException where a figure is out of its range */
        public CallClass {
            require(latencyObjective.compareTo(Duration.ZERO) > 0, "aim");
            require(deadline.compareTo(Duration.ZERO) > 0, "deadline");
            require(slots > 0, "width");
        }

        /** The latency objective in milliseconds. */
        public double latencyObjectiveMs() {
            return Millis.of(latencyObjective);
        }

        /** The deadline in milliseconds. */
        public double deadlineMs() {
            return Millis.of(deadline);
        }

        /** Priority weight for each slot that a call takes. */
        public double utility() {
            return priorityWeight / slots;
        }

        /** Whether servers of a pool may take the class. */
        public boolean allows(int pool) {
            return allowedPools.isEmpty() || allowedPools.contains(pool);
        }
    }

    /**
     * The figures of the rules on slow start and on retries.
     *
     * @param slowStartFraction the share of its full speed at which a server starts
     * @param slowStart how long a server takes to come to its full speed
     * @param overloadFactor a server in slow start fails at this multiple of what it can do
     * @param overloadWindow the span over which that is counted
     * @param retryDelay how long nothing is sent for a call after an attempt was lost
     */
    public record Rules(double slowStartFraction, Duration slowStart, double overloadFactor, Duration overloadWindow,
            Duration retryDelay) {

        /** @throws InvalidSettingException where a figure is out of its range */
        public Rules {
            require(slowStartFraction > 0, "cold-from");
            require(!slowStart.isNegative(), "cold-ms");
            require(overloadFactor > 0, "fall-multiple");
            require(overloadWindow.compareTo(Duration.ZERO) > 0, "fall-ms");
            require(!retryDelay.isNegative(), "clear wait");
        }

        /** The span of a slow start in milliseconds. */
        public double slowStartMs() {
            return Millis.of(slowStart);
        }

        /** The overload window in milliseconds. */
        public double overloadWindowMs() {
            return Millis.of(overloadWindow);
        }

        /** The retry delay in milliseconds. */
        public double retryDelayMs() {
            return Millis.of(retryDelay);
        }
    }

    /** @throws InvalidSettingException where a figure is out of its range */
    public Settings {
        require(!classes.isEmpty(), "classes");
        require(controllerCount > 0, "balancers");
        require(maxAttempts > 0, "max attempts");
    }

    /** The tick in milliseconds. */
    public double tickMs() {
        return Millis.of(tick);
    }

    /** The interval of retransmission in milliseconds. */
    public double retransmitMs() {
        return Millis.of(retransmitInterval);
    }

    /** The longest wait that a client honours, in milliseconds. */
    public double maxRetryAfterMs() {
        return Millis.of(maxRetryAfter);
    }

    /** No client waits for its answer for longer: clients wait for a part of their class's deadline, or a little more. */
    public Duration longestDeadline() {
        return classes.stream().map(CallClass::deadline).max(Duration::compareTo).orElseThrow().multipliedBy(2);
    }

    /** The place of a class in the list, or -1 where none has the name. */
    public int indexOfClass(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** The same with another retry delay. */
    public Settings withRetryDelay(Duration retryDelay) {
        Rules changed = new Rules(rules.slowStartFraction, rules.slowStart, rules.overloadFactor, rules.overloadWindow,
                retryDelay);
        return new Settings(classes, changed, controllerCount, maxAttempts, tick, retransmitInterval, canCancel,
                mustRequestServerList, ownPool, connectTimeout, idleTimeout, maxRetryAfter, slowStartSenders);
    }

    /** The same for a wire that can't cancel: an attempt ends by its answer, its time-out or its connection. */
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
