package pathlane.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the attempts of calls at all session servers and reports each violation: a call must not have two attempts at once,
 * nor a new attempt within the gap after a lost one. A call keeps the same key over all its attempts, whoever makes
 * them. Times are in milliseconds. Not thread-safe.
 */
public final class AttemptRuleChecker {

    private final double gapMs;
    private final Map<String, String> serverByOpenCall = new HashMap<>();
    private final Map<String, Double> lostAt = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();

    /** Creates a checker; {@code gapMs} is the minimum time between a lost attempt and the next one. */
    public AttemptRuleChecker(double gapMs) {
        this.gapMs = gapMs;
    }

    /** Records that an attempt has reached a server. */
    public void sent(String call, String server, double now) {
        attempts.merge(call, 1, Integer::sum);
        String otherServer = serverByOpenCall.putIfAbsent(call, server);
        if (otherServer != null) {
            violations.add(call + " arrived at " + server + " at " + now + " while it had an attempt at " + otherServer);
        }
        Double lastLostAt = lostAt.get(call);
        if (lastLostAt != null && now - lastLostAt < gapMs) {
            violations.add(
                    call + " arrived at " + server + " at " + now + ", " + (now - lastLostAt) + " ms after a lost attempt");
        }
    }

    /** Records that an attempt has ended; it is lost if it timed out, was reset or was cancelled. */
    public void ended(String call, boolean lost, double now) {
        serverByOpenCall.remove(call);
        if (lost) {
            lostAt.put(call, now);
        }
    }

    /** Returns the number of attempts of a call so far. */
    public int attempts(String call) {
        return attempts.getOrDefault(call, 0);
    }

    /** Returns the violations, one sentence each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
