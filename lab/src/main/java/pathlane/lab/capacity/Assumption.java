package pathlane.lab.capacity;

/**
 * One figure about the fleet that no measurement gives.
 *
 * @param unit what it counts
 * @param origin where it comes from
 * @param note one line for the page
 */
public record Assumption(String name, double value, String unit, Origin origin, String note) {

    /** Whether the figure was asked for or is a guess. */
    public enum Origin {
        /** Part of the size that is asked for. */
        GIVEN,
        /** A guess of this page's, to be replaced once somebody knows. */
        ASSUMED,
        /** What the plan chooses. */
        PLANNED
    }

    Assumption withValue(double other) {
        return new Assumption(name, other, unit, origin, note);
    }
}
