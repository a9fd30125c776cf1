package pathlane;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP from the first line of the program on. A JVM without a handler ends at that signal, and an operator's
 * reload may meet a process that has just been started and has nothing to reload yet. The signal arrives on a thread of the
 * JVM's own.
 */
final class SighupHandler {

    private Runnable reload;
    private boolean pending;
    /** Whether the program was started with the signal ignored: a JVM leaves it so, and reports nothing. */
    private boolean ignored;

    /** Installs the handler; a signal that comes before {@link #onSignal} is kept until then. */
    static SighupHandler install() {
        SighupHandler sighup = new SighupHandler();
        sighup.ignored = Signal.handle(new Signal("HUP"), signal -> sighup.signalled()) == SignalHandler.SIG_IGN;
        return sighup;
    }

    /** Whether the signal never comes: the program was started with it ignored, as {@code nohup} does. */
    boolean isIgnored() {
        return ignored;
    }

    synchronized void signalled() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }

    /** Sets what is done at each signal from now on, and does it at once if a signal has come already. */
    synchronized void onSignal(Runnable action) {
        reload = action;
        if (pending) {
            action.run();
        }
    }
}
