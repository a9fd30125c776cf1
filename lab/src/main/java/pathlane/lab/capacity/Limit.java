package pathlane.lab.capacity;

import java.util.function.Function;

/**
 * A cost with its budget, for any size of the fleet.
 *
 * @param what description of the cost
 * @param design the design under which it occurs
 * @param unit of both figures
 * @param budget maximum allowed cost
 * @param cost computes the cost from assumptions about a fleet
 * @param mechanism the mechanism that causes the cost
 */
record Limit(String what, Design design, String unit, double budget, Function<Assumptions, Estimate> cost,
        String mechanism) {

    /** Sizes beyond this multiple of the planned size are not searched. */
    private static final double MAX_SEARCHED_MULTIPLE = 100;
    private static final int STEPS = 60;

    Estimate at(Assumptions assumptions) {
        return cost.apply(assumptions);
    }

    /** Whether the cost is known to exceed its budget. */
    boolean isOver(Assumptions assumptions) {
        return at(assumptions).value() > budget;
    }

    /**
     * Returns the smallest fleet size that exceeds the budget: 1 if every size does, infinite if none does within the
     * searched multiple of the planned size. Costs are assumed to grow with the fleet.
     */
    double exceededFrom(Assumptions assumptions) {
        double largestSearched = assumptions.value("servers") * MAX_SEARCHED_MULTIPLE;
        if (!isOver(assumptions.atFleet(largestSearched))) {
            return Double.POSITIVE_INFINITY;
        }
        double within = 1;
        double beyond = largestSearched;
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
