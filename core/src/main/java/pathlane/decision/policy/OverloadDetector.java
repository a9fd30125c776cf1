package pathlane.decision.policy;

import java.util.function.DoubleUnaryOperator;

/** The overload test of one server: conditions (4) and (6) of Andersson et al. 2003, section 5.2. Pure. */
final class OverloadDetector {

    /** The paper's margin f: a condition that fails with its right side times f signals level 1. */
    static final double MARGIN = 0.9;
    /** The paper's number of consecutive detections that change the level. */
    static final int DETECTIONS = 5;

    /** The paper's levels 0, 1 and 2: both conditions hold with the margin, hold without it, or one fails. */
    enum Level {
        NONE, MARGINAL, SEVERE
    }

    private OverloadDetector() {}

    /** The level that one look at the server shows; parameters as for {@link #isFeasible}. */
    static Level detect(double[] limits, double[] guaranteed, DoubleUnaryOperator dueWithin, double serviceTime) {
        if (!isFeasible(limits, guaranteed, dueWithin, serviceTime, 1)) {
            return Level.SEVERE;
        }
        return isFeasible(limits, guaranteed, dueWithin, serviceTime, MARGIN) ? Level.NONE : Level.MARGINAL;
    }

    /**
     * Whether conditions (4) and (6) hold with their right sides times the margin; times are milliseconds.
     * @param limits the distinct latency limits, the shortest first; {@code guaranteed} has the paper's lambda for each
     * @param dueWithin the paper's N(t): unanswered requests whose answer is due in less than t
     * @param serviceTime the paper's x, inferred from delays; nought where none is known
     */
    static boolean isFeasible(double[] limits, double[] guaranteed, DoubleUnaryOperator dueWithin, double serviceTime,
            double margin) {
        for (int k = 0; k < limits.length; k++) {
            double shorter = 0;
            double repeated = 0;
            for (int j = 0; j < k; j++) {
                shorter += guaranteed[j] * (limits[k] - limits[j]);
                repeated += guaranteed[j] * limits[j];
            }
            double most = margin * limits[k];
            if (serviceTime > 0 && (dueWithin.applyAsDouble(limits[k]) + shorter) * serviceTime >= most) {
                return false;
            }
            for (int i = k + 1; i < limits.length; i++) {
                double between = 0;
                for (int j = k; j < i; j++) {
                    between += guaranteed[j] * Math.min(limits[k], limits[i] - limits[j]);
                }
                double due = dueWithin.applyAsDouble(limits[i]) - dueWithin.applyAsDouble(limits[i] - limits[k]);
                if (serviceTime > 0 && (due + shorter + between + repeated) * serviceTime >= most) {
                    return false;
                }
            }
        }
        return true;
    }
}
