package pathlane.lab.capacity;

/**
 * One figure about the fleet that is not measured.
 *
 * @param unit the unit of the value
 * @param origin where the value comes from
 * @param note one line for the page
 */
public record Assumption(String name, double value, String unit, Origin origin, String note) {

    /** Whether the value is a requirement, a guess or a choice. */
    public enum Origin {
        /** Part of the required fleet size. */
        GIVEN,
        /** A guess, to be replaced once the actual value is known. */
        ASSUMED,
        /** A choice of the capacity plan. */
        PLANNED
    }

    Assumption withValue(double other) {
        return new Assumption(name, other, unit, origin, note);
    }
}
