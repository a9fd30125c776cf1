package pathlane.decision.policy;

import java.util.function.DoubleUnaryOperator;

/** The overload test of one server: conditions (4) and (6) of Andersson et al. 2003, section 5.2. Stateless. */
final class OverloadDetector {

    /** The paper's margin f: a condition that fails with its right side multiplied by f signals level 1. */
    static final double MARGIN = 0.9;
    /** The paper's number of consecutive detections that change the level. */
    static final int DETECTIONS_TO_CHANGE = 5;

    /** The paper's levels 0, 1 and 2: both conditions hold with the margin, hold only without it, or one fails. */
    enum Level {
        NONE, MARGINAL, SEVERE
    }

    private OverloadDetector() {}

    /** The level that one test of the server detects; parameters as for {@link #isFeasible}. */
    static Level detect(double[] limits, double[] guaranteed, DoubleUnaryOperator dueWithin, double serviceTime) {
        if (!isFeasible(limits, guaranteed, dueWithin, serviceTime, 1)) {
            return Level.SEVERE;
        }
        return isFeasible(limits, guaranteed, dueWithin, serviceTime, MARGIN) ? Level.NONE : Level.MARGINAL;
    }

    /**
     * Whether conditions (4) and (6) hold with their right sides multiplied by the margin; times are milliseconds.
     * @param limits the distinct latency limits in ascending order
     * @param guaranteed the guaranteed rate (lambda in the paper) for each limit
     * @param dueWithin the number of unanswered requests whose answer is due in less than t (N(t) in the paper)
     * @param serviceTime the service time inferred from delays (x in the paper); 0 if no delay is known
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
            double bound = margin * limits[k];
            if (serviceTime > 0 && (dueWithin.applyAsDouble(limits[k]) + shorter) * serviceTime >= bound) {
                return false;
            }
            for (int i = k + 1; i < limits.length; i++) {
                double between = 0;
                for (int j = k; j < i; j++) {
                    between += guaranteed[j] * Math.min(limits[k], limits[i] - limits[j]);
                }
                double due = dueWithin.applyAsDouble(limits[i]) - dueWithin.applyAsDouble(limits[i] - limits[k]);
                if (serviceTime > 0 && (due + shorter + between + repeated) * serviceTime >= bound) {
                    return false;
                }
            }
        }
        return true;
    }
}
