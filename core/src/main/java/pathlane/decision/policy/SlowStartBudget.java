package pathlane.decision.policy;

import java.util.Optional;
import pathlane.config.Settings.Rules;
import pathlane.decision.support.TokenBucket;
import pathlane.slowstart.SlowStartShare;

/**
 * Rule four: this controller's budget for a server in slow start, a bucket that fills with its share of what the server can
 * do so long after its start. Where the settings state servers' speed, {@link SlowStartShare} takes the bucket's place.
 */
final class SlowStartBudget {

    /** What is used of the rule's budget: the rest is for what this controller can't know. */
    private static final double USED_SHARE = 0.5;

    private final long serverId;
    private final Rules rules;
    private final Optional<SlowStartShare> share;
    private final TokenBucket bucket = new TokenBucket();
    private double startedAt = Double.NaN;

    SlowStartBudget(long serverId, Rules rules, Optional<SlowStartShare> share) {
        this.serverId = serverId;
        this.rules = rules;
        this.share = share;
    }

    /** The server started then. A random initial level has all controllers together begin at the filling rate. */
    void start(double now, double since, double initialTokens) {
        startedAt = since;
        share.ifPresent(all -> all.serverStarted(serverId, since));
        bucket.reset(now, initialTokens);
    }

    boolean isActive(double now) {
        return now - startedAt < rules.slowStartMs();
    }

    /** Whether one more fits; always where no controller has another one out. The warm rate is in requests a millisecond. */
    boolean hasRoom(double now, double warmRate, boolean isOnlyRequest) {
        if (!isActive(now) || share.isPresent()) {
            return !isActive(now) || share.get().mayAcquire(serverId, now);
        }
        double fillRate = fillRate(now, warmRate);
        bucket.refill(now, fillRate, Math.max(1, fillRate * rules.overloadWindowMs() * USED_SHARE));
        return bucket.hasToken() || isOnlyRequest;
    }

    void sent(double now) {
        if (isActive(now)) {
            bucket.take();
            share.ifPresent(all -> all.acquired(serverId));
        }
    }

    /** A prompt answer begets requests: under half a token for each, or all could double what fills alone. */
    void answeredPromptly(double now, double warmRate) {
        bucket.add(Math.min(OverloadDetector.MARGIN * USED_SHARE, fillRate(now, warmRate) * rules.overloadWindowMs()));
    }

    private double fillRate(double now, double warmRate) {
        double ramp = (1 - rules.slowStartFraction()) * (now - startedAt) / rules.slowStartMs();
        return warmRate * Math.min(1, rules.slowStartFraction() + ramp) * rules.overloadFactor() * USED_SHARE;
    }
}
