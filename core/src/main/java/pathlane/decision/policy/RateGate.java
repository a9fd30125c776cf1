package pathlane.decision.policy;

import java.util.stream.IntStream;
import pathlane.config.ClassRanking;
import pathlane.decision.policy.OverloadDetector.Level;
import pathlane.decision.support.DecayingRate;

/** Under overload of one server, sheds classes down to guaranteed rates, the lowest utility first; restores in reverse. */
final class RateGate {

    /** The paper's guaranteed rates by rank; ranks after the third share the last. */
    private static final double[] GUARANTEED_RATIO = {10, 5, 0.5};
    /** Guaranteed rates together, as a share of what the server lately answered: alone they can't overload it. */
    private static final double GUARANTEED_SHARE = 0.5;
    /** X, the paper's step of shedding and restoring, as a share of the shortest limit. */
    private static final double STEP_SHARE = 0.1;

    private final ClassRanking classes;
    private final DecayingRate answerRate;
    private final double leastRate;
    private final double ratioSum;
    final double step;
    final boolean[] isShed;
    private final double[] nextPassAt;
    private double steppedAt = Double.NEGATIVE_INFINITY;

    /** {@code answerRate} is what the server answers to this controller, {@code leastRate} is guaranteed without answers. */
    RateGate(ClassRanking classes, DecayingRate answerRate, double leastRate) {
        this.classes = classes;
        this.answerRate = answerRate;
        this.leastRate = leastRate;
        step = STEP_SHARE * classes.shortestLimit();
        ratioSum = IntStream.range(0, classes.size()).mapToDouble(this::ratio).sum();
        isShed = new boolean[classes.size()];
        nextPassAt = new double[classes.size()];
    }

    private double ratio(int callClass) {
        return GUARANTEED_RATIO[Math.min(classes.rank(callClass), GUARANTEED_RATIO.length - 1)];
    }

    /** The paper's d: the guaranteed rate of one class, in requests a millisecond. */
    double guaranteedRate(int callClass) {
        return ratio(callClass) / ratioSum * Math.max(GUARANTEED_SHARE * answerRate.last(), leastRate);
    }

    /** The paper's lambda: guaranteed rates added up by latency limit. */
    double[] guaranteedByLimit() {
        double[] rates = new double[classes.limits().length];
        for (int i = 0; i < rates.length; i++) {
            for (int c = 0; c < isShed.length; c++) {
                rates[i] += classes.limit(c) == classes.limits()[i] ? guaranteedRate(c) : 0;
            }
        }
        return rates;
    }

    /** Sheds or restores one class a step; at the severe level all are shed at once. */
    void advance(double now, Level level) {
        boolean sheds = level != Level.NONE;
        for (int r = 0; r < isShed.length && (level == Level.SEVERE || now - steppedAt >= step); r++) {
            int c = classes.classAt(sheds ? isShed.length - 1 - r : r);
            if (isShed[c] != sheds) {
                isShed[c] = sheds;
                nextPassAt[c] = now;
                steppedAt = now;
            }
        }
        steppedAt = level == Level.SEVERE ? now : steppedAt;
    }

    /** The level has changed: the next step may come at once. */
    void levelChanged(double now) {
        steppedAt = Math.min(steppedAt, now - step);
    }

    /** How long the gate keeps a class out, in milliseconds; nought or less where the next request may pass. */
    double remainingWait(double now, int callClass) {
        return isShed[callClass] ? nextPassAt[callClass] - now : 0;
    }

    void sent(double now, int callClass) {
        nextPassAt[callClass] = isShed[callClass] ? now + 1 / guaranteedRate(callClass) : nextPassAt[callClass];
    }
}
