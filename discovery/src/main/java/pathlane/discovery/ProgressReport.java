package pathlane.discovery;

import java.util.List;

/**
 * How many call controllers below a publisher have applied which revision.
 *
 * @param levels controllers by revision, ascending, at most {@link #MAX_LEVELS}; beyond that, adjacent levels are merged
 *               into the lower one
 * @param slowest the controllers that are furthest behind, by name, at most {@link #MAX_SLOWEST}
 */
public record ProgressReport(List<Level> levels, List<SlowController> slowest) {

    public static final int MAX_LEVELS = 16;
    public static final int MAX_SLOWEST = 8;

    /** The number of controllers that have applied all changes up to a revision. */
    public record Level(Revision inForce, long controllers) {}

    /** A controller that has not applied the newest revision. */
    public record SlowController(String name, Revision inForce) {}
}
