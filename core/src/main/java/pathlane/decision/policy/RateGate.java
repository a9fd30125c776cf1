package pathlane.decision.policy;

import java.util.stream.IntStream;
import pathlane.config.ClassRanking;
import pathlane.decision.policy.OverloadDetector.Level;
import pathlane.decision.support.DecayingRate;

/**
 * While a server is overloaded, sheds call classes one by one, lowest utility first, down to their guaranteed rates;
 * afterwards restores them in reverse order.
 */
final class RateGate {

    /** The paper's ratio of guaranteed rates by utility rank; ranks after the third use the last value. */
    private static final double[] GUARANTEED_RATIO = {10, 5, 0.5};
    /** Sum of the guaranteed rates as a fraction of the server's recent answer rate: alone they cannot overload it. */
    private static final double GUARANTEED_FRACTION = 0.5;
    /** The paper's step X between two classes shed or restored, as a fraction of the shortest latency limit. */
    private static final double STEP_FRACTION = 0.1;

    private final ClassRanking classes;
    private final DecayingRate answerRate;
    private final double minRate;
    private final double ratioSum;
    final double stepInterval;
    final boolean[] isShed;
    private final double[] nextPassAt;
    private double lastStepAt = Double.NEGATIVE_INFINITY;

    /**
     * @param answerRate the rate at which the server answers this controller
     * @param minRate the lower bound of the sum of the guaranteed rates, which applies when there are no answers
     */
    RateGate(ClassRanking classes, DecayingRate answerRate, double minRate) {
        this.classes = classes;
        this.answerRate = answerRate;
        this.minRate = minRate;
        stepInterval = STEP_FRACTION * classes.shortestLimit();
        ratioSum = IntStream.range(0, classes.size()).mapToDouble(this::ratio).sum();
        isShed = new boolean[classes.size()];
        nextPassAt = new double[classes.size()];
    }

    private double ratio(int callClass) {
        return GUARANTEED_RATIO[Math.min(classes.rank(callClass), GUARANTEED_RATIO.length - 1)];
    }

    /** The guaranteed rate of one class (d in the paper), in requests per millisecond. */
    double guaranteedRate(int callClass) {
        return ratio(callClass) / ratioSum * Math.max(GUARANTEED_FRACTION * answerRate.last(), minRate);
    }

    /** The sum of the guaranteed rates of the classes with each latency limit (lambda in the paper). */
    double[] guaranteedByLimit() {
        double[] rates = new double[classes.limits().length];
        for (int i = 0; i < rates.length; i++) {
            for (int c = 0; c < isShed.length; c++) {
                rates[i] += classes.limit(c) == classes.limits()[i] ? guaranteedRate(c) : 0;
            }
        }
        return rates;
    }

    /** Sheds or restores one class per step; at the severe level all are shed at once. */
    void advance(double now, Level level) {
        boolean isShedding = level != Level.NONE;
        for (int i = 0; i < isShed.length && (level == Level.SEVERE || now - lastStepAt >= stepInterval); i++) {
            int callClass = classes.classAt(isShedding ? isShed.length - 1 - i : i);
            if (isShed[callClass] != isShedding) {
                isShed[callClass] = isShedding;
                nextPassAt[callClass] = now;
                lastStepAt = now;
            }
        }
        lastStepAt = level == Level.SEVERE ? now : lastStepAt;
    }

    /** The overload level has changed: the next step may be taken at once. */
    void levelChanged(double now) {
        lastStepAt = Math.min(lastStepAt, now - stepInterval);
    }

    /** How long the gate blocks a class, in milliseconds; 0 or less if its next request may pass now. */
    double remainingWait(double now, int callClass) {
        return isShed[callClass] ? nextPassAt[callClass] - now : 0;
    }

    void recordSent(double now, int callClass) {
        nextPassAt[callClass] = isShed[callClass] ? now + 1 / guaranteedRate(callClass) : nextPassAt[callClass];
    }
}
