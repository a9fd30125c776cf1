package pathlane.diameter;

import java.time.Duration;
import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;

/** The watchdog of one peer, over all of its connections: the algorithm of RFC 3539, section 3.4.1. */
final class Watchdog {

    /** What the algorithm asks for. */
    interface Actions {
        void sendWatchdog();

        /** The peer is suspect: nothing new goes there, and what is out stays out. */
        void failOver();

        /** The peer is well again. */
        void failBack();

        void closeConnection();

        void attemptOpen();
    }

    enum State { INITIAL, OKAY, SUSPECT, DOWN, REOPEN }

    private static final Duration JITTER = Duration.ofSeconds(2);
    private static final int ANSWERS_TO_TRUST = 3;

    private final Duration interval;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Actions actions;
    private State state = State.INITIAL;
    private boolean pending;
    private int answers;
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

    /** Tw, within two seconds either way so that peers don't beat in step. */
    private void setTimer() {
        stop();
        long jitter = JITTER.toMillis();
        timer = scheduler.after(interval.plusMillis(random.nextLong(-jitter, jitter + 1)), this::expired);
    }

    /** The first attempt to connect has been made; later ones come from here. */
    void start() {
        setTimer();
    }

    void connectionUp() {
        if (state == State.INITIAL) {
            state = State.OKAY;
            pending = false;
            setTimer();
            actions.failBack();
        } else {
            state = State.REOPEN;
            answers = 0;
            pending = true;
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

    /** Anything came from the peer; {@code answer} where it is the answer to a watchdog. */
    void received(boolean answer) {
        pending &= !answer;
        switch (state) {
            case OKAY -> setTimer();
            case SUSPECT -> {
                state = State.OKAY;
                setTimer();
                actions.failBack();
            }
            case REOPEN -> {
                if (answer && ++answers == ANSWERS_TO_TRUST) {
                    state = State.OKAY;
                    setTimer();
                    actions.failBack();
                }
            }
            default -> {}
        }
    }

    private void expired() {
        setTimer();
        switch (state) {
            case OKAY -> {
                if (!pending) {
                    pending = true;
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
                if (!pending) {
                    pending = true;
                    actions.sendWatchdog();
                } else if (answers >= 0) {
                    answers = -1;
                } else {
                    state = State.DOWN;
                    actions.closeConnection();
                }
            }
            default -> actions.attemptOpen();
        }
    }
}
