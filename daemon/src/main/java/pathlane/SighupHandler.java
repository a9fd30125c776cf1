package pathlane;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP from the start of the process. A JVM without a handler terminates on that signal, and an operator may
 * request a reload while the process is still starting and can't reload yet. The JVM delivers the signal on a thread of
 * its own.
 */
final class SighupHandler {

    private Runnable reload;
    private boolean isPending;
    /** Whether the process was started with the signal ignored: the JVM then leaves it ignored without any error. */
    private boolean isSignalIgnored;

    /** Installs the handler; a signal that arrives before {@link #onSignal} is kept until then. */
    static SighupHandler install() {
        SighupHandler sighup = new SighupHandler();
        sighup.isSignalIgnored = Signal.handle(new Signal("HUP"), signal -> sighup.signalled()) == SignalHandler.SIG_IGN;
        return sighup;
    }

    /** Whether the signal is never delivered because the process was started with it ignored, as {@code nohup} does. */
    boolean isIgnored() {
        return isSignalIgnored;
    }

    synchronized void signalled() {
        if (reload == null) {
            isPending = true;
        } else {
            reload.run();
        }
    }

    /** Sets the action to run on each signal, and runs it immediately if a signal has already arrived. */
    synchronized void onSignal(Runnable action) {
        reload = action;
        if (isPending) {
            action.run();
        }
    }
}
