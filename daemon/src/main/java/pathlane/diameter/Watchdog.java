package pathlane.diameter;

import java.time.Duration;
import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;

/** The watchdog state machine of one peer across all of its connections (RFC 3539, section 3.4.1). */
final class Watchdog {

    /** The actions that the state machine triggers. */
    interface Actions {
        void sendWatchdog();

        /** The peer is suspect: it gets no new requests, and its outstanding requests continue. */
        void failOver();

        /** The peer has recovered. */
        void failBack();

        void closeConnection();

        void attemptOpen();
    }

    enum State { INITIAL, OKAY, SUSPECT, DOWN, REOPEN }

    private static final Duration MAX_JITTER = Duration.ofSeconds(2);
    private static final int ANSWERS_TO_RECOVER = 3;

    private final Duration interval;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Actions actions;
    private State state = State.INITIAL;
    private boolean isAnswerPending;
    private int answerCount;
    private Scheduler.Timer timer;

    Watchdog(Duration interval, Scheduler scheduler, RandomGenerator random, Actions actions) {
        this.interval = interval;
        this.scheduler = scheduler;
        this.random = random;
        this.actions = actions;
    }

    State state() {
        return state;
    }

    void stop() {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Sets the timer Tw with a jitter of two seconds either way, so that the watchdogs of peers don't synchronize. */
    private void setTimer() {
        stop();
        long jitter = MAX_JITTER.toMillis();
        timer = scheduler.after(interval.plusMillis(random.nextLong(-jitter, jitter + 1)), this::timerExpired);
    }

    /** Starts the timer after the first connection attempt; later attempts are triggered by it. */
    void start() {
        setTimer();
    }

    void connectionUp() {
        if (state == State.INITIAL) {
            state = State.OKAY;
            isAnswerPending = false;
            setTimer();
            actions.failBack();
        } else {
            state = State.REOPEN;
            answerCount = 0;
            isAnswerPending = true;
            setTimer();
            actions.sendWatchdog();
        }
    }

    void connectionDown() {
        if (state != State.DOWN && state != State.INITIAL) {
            boolean wasOkay = state == State.OKAY;
            state = State.DOWN;
            setTimer();
            if (wasOkay) {
                actions.failOver();
            }
        }
    }

    /** Any message arrived from the peer; {@code isWatchdogAnswer} if it is a watchdog answer. */
    void received(boolean isWatchdogAnswer) {
        isAnswerPending &= !isWatchdogAnswer;
        switch (state) {
            case OKAY -> setTimer();
            case SUSPECT -> {
                state = State.OKAY;
                setTimer();
                actions.failBack();
            }
            case REOPEN -> {
                if (isWatchdogAnswer && ++answerCount == ANSWERS_TO_RECOVER) {
                    state = State.OKAY;
                    setTimer();
                    actions.failBack();
                }
            }
            default -> {}
        }
    }

    private void timerExpired() {
        setTimer();
        switch (state) {
            case OKAY -> {
                if (!isAnswerPending) {
                    isAnswerPending = true;
                    actions.sendWatchdog();
                } else {
                    state = State.SUSPECT;
                    actions.failOver();
                }
            }
            case SUSPECT -> {
                state = State.DOWN;
                actions.closeConnection();
            }
            case REOPEN -> {
                if (!isAnswerPending) {
                    isAnswerPending = true;
                    actions.sendWatchdog();
                } else if (answerCount >= 0) {
                    answerCount = -1;
                } else {
                    state = State.DOWN;
                    actions.closeConnection();
                }
            }
            default -> actions.attemptOpen();
        }
    }
}
