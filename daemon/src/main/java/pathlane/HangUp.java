package pathlane;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Minds SIGHUP from the first line of the program on. Guards against the end that a JVM comes to at that signal unless
 * somebody minds it: an operator's reload may meet a process that has just been started and has nothing to reload yet.
 */
final class HangUp {

    private Runnable reload;
    private boolean asked;
    /** Whether whoever started the program had the signal ignored: a JVM leaves it so, without a word. */
    private boolean unheard;

    /** Takes the signal over; what it asks for before there is somebody to do it is done then. */
    static HangUp minded() {
        HangUp hangUp = new HangUp();
        hangUp.unheard = Signal.handle(new Signal("HUP"), signal -> hangUp.came()) == SignalHandler.SIG_IGN;
        return hangUp;
    }

    /** Whether the signal never comes: the program was started with it ignored, as {@code nohup} does. */
    boolean isUnheard() {
        return unheard;
    }

    synchronized void came() {
        if (reload == null) {
            asked = true;
        } else {
            reload.run();
        }
    }

    /** Says what is done at the signal from now on; once at once, if it has come already. */
    synchronized void does(Runnable what) {
        reload = what;
        if (asked) {
            what.run();
        }
    }
}
