package pathlane.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Watches the attempts of calls at all session servers and names each broken rule: no two attempts of a call out at
 * once, and none within the gap after one that was lost. A call's key is the same over all its tries, whoever makes
 * them. Times are milliseconds; one thread at a time.
 */
public final class RuleBook {

    private final double gapMs;
    private final Map<String, String> out = new HashMap<>();
    private final Map<String, Double> lostAt = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();

    /** {@code gapMs} is how long after a lost attempt nothing may come. */
    public RuleBook(double gapMs) {
        this.gapMs = gapMs;
    }

    /** An attempt has come to a server. */
    public void sent(String call, String server, double now) {
        attempts.merge(call, 1, Integer::sum);
        String there = out.putIfAbsent(call, server);
        if (there != null) {
            broken.add(call + " came to " + server + " at " + now + " while it was out at " + there);
        }
        Double lost = lostAt.get(call);
        if (lost != null && now - lost < gapMs) {
            broken.add(call + " came to " + server + " at " + now + ", " + (now - lost) + " ms after a lost attempt");
        }
    }

    /** An attempt is over; lost where it timed out, was reset or was cancelled. */
    public void over(String call, boolean lost, double now) {
        out.remove(call);
        if (lost) {
            lostAt.put(call, now);
        }
    }

    /** Attempts of a call so far. */
    public int attempts(String call) {
        return attempts.getOrDefault(call, 0);
    }

    /** What was broken, each in a sentence. */
    public List<String> broken() {
        return List.copyOf(broken);
    }
}
