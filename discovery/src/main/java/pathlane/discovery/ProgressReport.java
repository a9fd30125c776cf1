package pathlane.discovery;

import java.util.List;

/**
 * How many call controllers have which revision in force, of all below one publisher.
 *
 * @param levels controllers by revision, ascending, at most {@link #MAX_LEVELS}; where there are more, neighbours are
 *               counted at the lower one
 * @param slowest the controllers that are furthest behind, by name, at most {@link #MAX_SLOWEST}
 */
public record ProgressReport(List<Level> levels, List<SlowController> slowest) {

    public static final int MAX_LEVELS = 16;
    public static final int MAX_SLOWEST = 8;

    /** So many controllers have everything up to this revision in force. */
    public record Level(Revision inForce, long controllers) {}

    /** A controller that is behind. */
    public record SlowController(String name, Revision inForce) {}
}
