package pathlane;

import java.util.logging.LogManager;

/**
 * The language's own log, kept to the end: it would close its handlers as soon as the process is asked to end, and
 * what is said while the last calls are answered would be lost.
 */
public final class SteadyLog extends LogManager {

    @Override
    public void reset() {
        // Handlers stay until the process has ended.
    }
}
