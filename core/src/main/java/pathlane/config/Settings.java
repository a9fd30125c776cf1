package pathlane.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a call controller is told once, when it starts: the only settings type. The simulator's first message
 * and the configuration of a real call controller hold the same object ({@link SettingsReader} reads both).
 * An absent figure that has no sense is nought.
 *
 * @param repeat a set-up that waits is sent again after this by the transport below; nought for never
 * @param mostRetryAfter the longest wait that a caller honours; nought where callers are told none
 * @param coldSenders empty where servers' speed is not stated: the module then learns it
 */
public record Settings(List<CallClass> classes, Rules rules, int balancers, int maxAttempts, Duration tick,
        Duration repeat, boolean mayCancel, boolean mustAsk, int ownNumber,
        Duration dialTimeout, Duration idleClose, Duration mostRetryAfter,
        Optional<ColdSenders> coldSenders) {

    /**
     * Senders that share the cold budget of servers whose speed is stated.
     *
     * @param perSecond set-ups a second that a warm server can do
     * @param senders how many there are, this one included
     * @param number this one's, from 0
     */
    public record ColdSenders(double perSecond, int senders, int number) {
        public ColdSenders {
            require(perSecond > 0 && !Double.isInfinite(perSecond), "set-ups-per-second");
            require(senders > 0, "senders");
            require(number >= 0 && number < senders, "number");
        }
    }

    /** A class of call: how soon it should stand, how long a caller tries, and what it is worth. */
    public record CallClass(String name, Duration aim, Duration deadline, double worth, double lateWorth,
            int width, boolean repeatable, List<Integer> allowedPools) {
        public CallClass {
            require(aim.compareTo(Duration.ZERO) > 0, "aim");
            require(deadline.compareTo(Duration.ZERO) > 0, "deadline");
            require(width > 0, "width");
        }

        public double aimMs() {
            return Millis.of(aim);
        }

        public double deadlineMs() {
            return Millis.of(deadline);
        }
    }

    /** The figures of the cold-start and release rules. */
    public record Rules(double coldFrom, Duration cold, double fallMultiple, Duration fall,
            Duration clearWait) {
        public Rules {
            require(coldFrom > 0, "cold-from");
            require(!cold.isNegative(), "cold-ms");
            require(fallMultiple > 0, "fall-multiple");
            require(fall.compareTo(Duration.ZERO) > 0, "fall-ms");
            require(!clearWait.isNegative(), "clear wait");
        }

        public double coldMs() {
            return Millis.of(cold);
        }

        public double fallMs() {
            return Millis.of(fall);
        }

        public double clearWaitMs() {
            return Millis.of(clearWait);
        }
    }

    public Settings {
        require(!classes.isEmpty(), "classes");
        require(balancers > 0, "balancers");
        require(maxAttempts > 0, "max attempts");
    }

    public double tickMs() {
        return Millis.of(tick);
    }

    public double repeatMs() {
        return Millis.of(repeat);
    }

    public double mostRetryAfterMs() {
        return Millis.of(mostRetryAfter);
    }

    /** No caller waits for its answer for longer: callers wait for a part of their class's deadline, or a little more. */
    public Duration longestPatience() {
        return classes.stream().map(CallClass::deadline).max(Duration::compareTo).orElseThrow().multipliedBy(2);
    }

    /** The place of a class in the list, or -1 where none has the name. */
    public int classNamed(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** The same with a release awaited for longer. */
    public Settings withClearWait(Duration clearWait) {
        return new Settings(classes, new Rules(rules.coldFrom, rules.cold, rules.fallMultiple, rules.fall,
                clearWait), balancers, maxAttempts, tick, repeat, mayCancel, mustAsk, ownNumber, dialTimeout,
                idleClose, mostRetryAfter, coldSenders);
    }

    /** The same for a wire that can't cancel: an attempt ends by its answer, its time-out or its connection. */
    public Settings withoutCancelling() {
        return new Settings(classes, rules, balancers, maxAttempts, tick, repeat, false, mustAsk, ownNumber, dialTimeout,
                idleClose, mostRetryAfter, coldSenders);
    }

    private static void require(boolean held, String name) {
        if (!held) {
            throw new IllegalArgumentException("setting can't be used: " + name);
        }
    }
}
