package pathlane.decision.support;

/** A token bucket whose rate and size may differ at each refill. Not thread-safe; times are the caller's milliseconds. */
public final class TokenBucket {

    private double tokens;
    private double filledAt;

    /** Begins anew with so many tokens. */
    public void reset(double now, double initialTokens) {
        tokens = initialTokens;
        filledAt = now;
    }

    /** Adds what came since the last refill, at a rate in tokens a millisecond, up to the size. */
    public void refill(double now, double rate, double size) {
        tokens = Math.min(size, tokens + (now - filledAt) * rate);
        filledAt = now;
    }

    /** Adds tokens at once, over the size too. */
    public void add(double more) {
        tokens += more;
    }

    /** Takes one token, or the part of one that is left. */
    public void take() {
        tokens = Math.max(0, tokens - 1);
    }

    /** Whether there is a whole token. */
    public boolean hasToken() {
        return tokens >= 1;
    }
}
