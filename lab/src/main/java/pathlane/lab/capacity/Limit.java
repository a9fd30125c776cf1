package pathlane.lab.capacity;

import java.util.function.Function;

/**
 * A cost with its budget, at whatever size of the fleet.
 *
 * @param what it is
 * @param design under which it comes about
 * @param unit of both figures
 * @param budget most that it may be
 * @param cost by assumptions about a fleet
 * @param mechanism what carries it
 */
record Limit(String what, Design design, String unit, double budget, Function<Assumptions, Estimate> cost,
        String mechanism) {

    /** Beyond so many times the planned size nobody looks. */
    private static final double MOST_TIMES = 100;
    private static final int STEPS = 60;

    Estimate at(Assumptions assumptions) {
        return cost.apply(assumptions);
    }

    /** Whether it is known to be over its budget. */
    boolean isOver(Assumptions assumptions) {
        return at(assumptions).value() > budget;
    }

    /**
     * The smallest fleet at which the budget is broken: 1 where it always is, infinite where it is not within many times
     * the planned size. Costs are taken to grow with the fleet.
     */
    double breaksAt(Assumptions assumptions) {
        double most = assumptions.value("servers") * MOST_TIMES;
        if (!isOver(assumptions.atFleet(most))) {
            return Double.POSITIVE_INFINITY;
        }
        double within = 1;
        double beyond = most;
        if (isOver(assumptions.atFleet(within))) {
            return within;
        }
        for (int step = 0; step < STEPS && beyond - within > 1; step++) {
            double middle = Math.sqrt(within * beyond);
            if (isOver(assumptions.atFleet(middle))) {
                beyond = middle;
            } else {
                within = middle;
            }
        }
        return Math.ceil(beyond);
    }
}
