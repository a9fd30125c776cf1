package pathlane.decision.support;

/** A token bucket whose rate and size may change with each refill. Not thread-safe; times are in milliseconds. */
public final class TokenBucket {

    private double tokens;
    private double refilledAt;

    /** Resets the bucket to the given number of tokens. */
    public void reset(double now, double initialTokens) {
        tokens = initialTokens;
        refilledAt = now;
    }

    /** Adds the tokens since the last refill, at a rate in tokens per millisecond, up to the size. */
    public void refill(double now, double rate, double size) {
        tokens = Math.min(size, tokens + (now - refilledAt) * rate);
        refilledAt = now;
    }

    /** Adds tokens at once, even beyond the size. */
    public void add(double more) {
        tokens += more;
    }

    /** Takes one token, or the remaining fraction of one. */
    public void take() {
        tokens = Math.max(0, tokens - 1);
    }

    /** Whether at least one full token is available. */
    public boolean hasToken() {
        return tokens >= 1;
    }
}
