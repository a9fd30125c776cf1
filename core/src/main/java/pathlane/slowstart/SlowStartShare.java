package pathlane.slowstart;

import java.util.HashMap;
import java.util.Map;
import pathlane.config.Settings.Rules;
import pathlane.config.Settings.SlowStartSenders;

/**
 * One sender's share of the budget of a server in slow start, where the settings state the servers' full speed. Senders do
 * not communicate; each knows the number of senders and its own index.
 *
 * <p>The senders' common budget at time t after the start is B(t), the integral of
 * {@code USED_FRACTION * overloadFactor * speedFraction(t) * rate}, where the speed fraction rises linearly from
 * {@code slowStartFraction} to one. Request j of the common budget becomes available at B = j + 1 and belongs to sender j
 * modulo the number of senders; it expires once the budget has grown by a further {@code UNUSED_FRACTION} of a window's
 * budget. In any overload window all senders together therefore send at most what becomes available in it plus what was
 * available and had not expired when it began: at most
 * {@code (USED_FRACTION + UNUSED_FRACTION) * overloadFactor * capacity * window}. That is below the limit, since the two
 * fractions add up to less than one, whatever the senders' loads are and however they change. The speed fraction grows, so
 * the mean capacity over a window is at least the capacity at its beginning, by which the rule sets the limit.
 *
 * <p>Times are milliseconds on one clock that all senders share, because a server's start is announced as a time on that
 * clock; a clock that is off shifts its sender's requests by the same amount. Not thread-safe.
 */
public final class SlowStartShare {

    /** The fraction of the rule's limit that becomes available. Half, as in the policy: the rest covers unknowns. */
    private static final double USED_FRACTION = 0.5;
    /** The fraction of the rule's limit for one window that may be available and unused at one time. */
    private static final double UNUSED_FRACTION = 0.25;
    /** The next request has not been computed yet. */
    private static final double UNKNOWN = -1;

    private final Rules rules;
    private final double requestsPerMs;
    private final Map<Long, SlowStart> servers = new HashMap<>();
    private int senderCount;
    private int ownIndex;

    private static final class SlowStart {
        final double startedAt;
        /** The first request of the common budget that this sender has neither used nor let expire. */
        double nextRequest = UNKNOWN;

        SlowStart(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** Creates a share without servers. */
    public SlowStartShare(Rules rules, SlowStartSenders senders) {
        this.rules = rules;
        this.requestsPerMs = senders.requestsPerSecond() / 1000;
        updateSenders(senders.senderCount(), senders.ownIndex());
    }

    /**
     * Changes the number of senders and this sender's index. While senders disagree on the number, together they may exceed
     * the budget; to change it during operation, first let all senders pause for one overload window.
     *
     * @throws IllegalArgumentException if the index is not one of the senders'
     */
    public void updateSenders(int count, int index) {
        if (count < 1 || index < 0 || index >= count) {
            throw new IllegalArgumentException(
                    "invalid sender index " + index + " of " + count + ": must be from 0 to " + (count - 1));
        }
        senderCount = count;
        ownIndex = index;
        servers.values().forEach(server -> server.nextRequest = UNKNOWN);
    }

    /** Records a server's start. The server is in slow start from that time on, for the time that the rules state. */
    public void serverStarted(long serverId, double at) {
        SlowStart known = servers.get(serverId);
        if (known == null || known.startedAt != at) {
            servers.put(serverId, new SlowStart(at));
        }
    }

    /** Removes a server that has left the list or has completed its slow start. */
    public void forget(long serverId) {
        servers.remove(serverId);
    }

    /** Whether this sender may send the server one more request now; always true for one that is not in slow start. */
    public boolean maySend(long serverId, double now) {
        SlowStart server = servers.get(serverId);
        if (server == null) {
            return true;
        }
        double age = now - server.startedAt;
        if (age >= rules.slowStartMs()) {
            servers.remove(serverId);
            return true;
        }
        double available = budget(age);
        double expired = available - Math.max(1, UNUSED_FRACTION * windowLimit(age));
        server.nextRequest = nextOwnRequest(Math.max(server.nextRequest, Math.max(0, Math.floor(expired))));
        return server.nextRequest + 1 <= available;
    }

    /** Records that a request allowed by {@link #maySend} was sent. */
    public void recordSent(long serverId) {
        SlowStart server = servers.get(serverId);
        if (server != null) {
            server.nextRequest = nextOwnRequest(server.nextRequest + 1);
        }
    }

    /** The first request of the common budget, from the given one on, that belongs to this sender. */
    private double nextOwnRequest(double from) {
        double round = Math.floor((from - ownIndex + senderCount - 1) / senderCount);
        return Math.max(0, round) * senderCount + ownIndex;
    }

    /** The common budget that has become available at the given time after the start, in requests. */
    private double budget(double age) {
        double t = Math.max(0, Math.min(age, rules.slowStartMs()));
        double rampPerMs = rules.slowStartMs() > 0 ? (1 - rules.slowStartFraction()) / rules.slowStartMs() : 0;
        return USED_FRACTION * rules.overloadFactor() * requestsPerMs
                * (rules.slowStartFraction() * t + rampPerMs * t * t / 2);
    }

    /** The rule's limit for all senders in an overload window that begins at the given time after the start, in requests. */
    private double windowLimit(double age) {
        double speedFraction = rules.slowStartMs() > 0
                ? rules.slowStartFraction() + (1 - rules.slowStartFraction()) * Math.max(0, age) / rules.slowStartMs()
                : 1;
        return rules.overloadFactor() * Math.min(1, speedFraction) * requestsPerMs * rules.overloadWindowMs();
    }
}
