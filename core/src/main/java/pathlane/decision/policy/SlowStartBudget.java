package pathlane.decision.policy;

import java.util.Optional;
import pathlane.config.Settings.Rules;
import pathlane.decision.support.TokenBucket;
import pathlane.slowstart.SlowStartShare;

/**
 * Keeps the slow-start rule: limits what this controller sends to a server in slow start by a token bucket, which fills at
 * this controller's share of the server's capacity at that time after its start. If the settings state the servers' speed,
 * {@link SlowStartShare} is used instead of the bucket.
 */
final class SlowStartBudget {

    /** The used fraction of the budget that the rule allows: the rest covers what this controller cannot know. */
    private static final double USED_FRACTION = 0.5;

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

    /** Starts a slow start. The initial tokens are random so that all controllers together start at the fill rate. */
    void start(double now, double since, double initialTokens) {
        startedAt = since;
        share.ifPresent(all -> all.serverStarted(serverId, since));
        bucket.reset(now, initialTokens);
    }

    boolean isActive(double now) {
        return now - startedAt < rules.slowStartMs();
    }

    /**
     * Whether the budget allows one more request.
     *
     * @param fullSpeedRate what the server can answer after its slow start, in requests per millisecond
     * @param isOnlyRequest whether no controller has another request outstanding there: such a request is always allowed
     */
    boolean hasBudget(double now, double fullSpeedRate, boolean isOnlyRequest) {
        if (!isActive(now) || share.isPresent()) {
            return !isActive(now) || share.get().maySend(serverId, now);
        }
        double fillRate = fillRate(now, fullSpeedRate);
        bucket.refill(now, fillRate, Math.max(1, fillRate * rules.overloadWindowMs() * USED_FRACTION));
        return bucket.hasToken() || isOnlyRequest;
    }

    void recordSent(double now) {
        if (isActive(now)) {
            bucket.take();
            share.ifPresent(all -> all.recordSent(serverId));
        }
    }

    /**
     * Adds budget for a prompt answer. Each answer enables further requests, so it adds less than half a token: with more,
     * all answers together could double what the fill rate alone allows.
     */
    void recordPromptAnswer(double now, double fullSpeedRate) {
        bucket.add(Math.min(OverloadDetector.MARGIN * USED_FRACTION,
                fillRate(now, fullSpeedRate) * rules.overloadWindowMs()));
    }

    private double fillRate(double now, double fullSpeedRate) {
        double ramp = (1 - rules.slowStartFraction()) * (now - startedAt) / rules.slowStartMs();
        return fullSpeedRate * Math.min(1, rules.slowStartFraction() + ramp) * rules.overloadFactor() * USED_FRACTION;
    }
}
