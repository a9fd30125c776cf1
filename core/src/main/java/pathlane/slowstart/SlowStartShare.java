package pathlane.slowstart;

import java.util.HashMap;
import java.util.Map;
import pathlane.config.Settings.Rules;
import pathlane.config.Settings.SlowStartSenders;

/**
 * One sender's part of what a server in slow start may be sent by all senders together, where what a warm server can do is
 * stated. Senders do not talk to each other; each knows how many they are and its own index.
 *
 * <p>The senders' common budget at time t after the start is B(t), the integral of
 * {@code USED * overloadFactor * warmth(t) * rate}. Request j of the common budget becomes available at B = j + 1 and
 * belongs to sender j modulo the count; it expires once the budget has grown by a further {@code KEPT} share of a
 * window. In any
 * overload window what all send is then what becomes available in it and what was available and had not expired at its
 * beginning: at most {@code (USED + KEPT) * overloadFactor * capacity * window}, and {@code USED + KEPT} is under one,
 * whatever the senders' loads are and however they change. Warmth grows, so a window's mean capacity is at least the
 * capacity at its beginning; the budget is taken at the window's beginning by the rule.
 *
 * <p>Times are milliseconds on one clock that all senders share, since a server's start is told on it; a clock that is off
 * shifts a sender's requests by as much. Not thread-safe.
 */
public final class SlowStartShare {

    /** Of the rule's budget, what becomes available. Half, as in the policy: the rest is for what can't be known. */
    private static final double USED = 0.5;
    /** Of the rule's budget, what may be available and unused at one time. */
    private static final double KEPT = 0.25;
    /** The next request is not worked out yet. */
    private static final double UNKNOWN = -1;

    private final Rules rules;
    private final double requestsPerMs;
    private final Map<Long, SlowStart> servers = new HashMap<>();
    private int senderCount;
    private int ownIndex;

    private static final class SlowStart {
        final double startedAt;
        /** The first request of the common budget that this sender has neither used nor let expire. */
        double next = UNKNOWN;

        SlowStart(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** A share that knows no server yet. */
    public SlowStartShare(Rules rules, SlowStartSenders senders) {
        this.rules = rules;
        this.requestsPerMs = senders.requestsPerSecond() / 1000;
        updateSenders(senders.senderCount(), senders.ownIndex());
    }

    /**
     * The count of senders, or the own index among them, is another one from now on. While senders disagree on the count the
     * sum may pass the budget; whoever changes it live lets all stop for one window first.
     *
     * @throws IllegalArgumentException where there is no such sender
     */
    public void updateSenders(int count, int own) {
        if (count < 1 || own < 0 || own >= count) {
            throw new IllegalArgumentException("sender " + own + " of " + count + ": numbers run from 0 to " + (count - 1));
        }
        senderCount = count;
        ownIndex = own;
        servers.values().forEach(server -> server.next = UNKNOWN);
    }

    /** A server started then. It counts as in slow start from that time on for the rule's span. */
    public void serverStarted(long serverId, double at) {
        SlowStart known = servers.get(serverId);
        if (known == null || known.startedAt != at) {
            servers.put(serverId, new SlowStart(at));
        }
    }

    /** A server has gone from the list, or is warm. */
    public void forget(long serverId) {
        servers.remove(serverId);
    }

    /** Whether this sender may send the server one request more at this time; always for one that is not in slow start. */
    public boolean mayAcquire(long serverId, double now) {
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
        double expired = available - Math.max(1, KEPT * window(age));
        server.next = firstOwn(Math.max(server.next, Math.max(0, Math.floor(expired))));
        return server.next + 1 <= available;
    }

    /** A request that {@link #mayAcquire} allowed has been sent. */
    public void acquired(long serverId) {
        SlowStart server = servers.get(serverId);
        if (server != null) {
            server.next = firstOwn(server.next + 1);
        }
    }

    /** The first request of the common budget from this one on that belongs to this sender. */
    private double firstOwn(double from) {
        double turn = Math.floor((from - ownIndex + senderCount - 1) / senderCount);
        return Math.max(0, turn) * senderCount + ownIndex;
    }

    /** What has become available to all senders so long after the start, in requests. */
    private double budget(double age) {
        double t = Math.max(0, Math.min(age, rules.slowStartMs()));
        double warming = rules.slowStartMs() > 0 ? (1 - rules.slowStartFraction()) / rules.slowStartMs() : 0;
        return USED * rules.overloadFactor() * requestsPerMs * (rules.slowStartFraction() * t + warming * t * t / 2);
    }

    /** What the rule allows all senders in one window that begins so long after the start, in requests. */
    private double window(double age) {
        double warmth = rules.slowStartMs() > 0
                ? rules.slowStartFraction() + (1 - rules.slowStartFraction()) * Math.max(0, age) / rules.slowStartMs()
                : 1;
        return rules.overloadFactor() * Math.min(1, warmth) * requestsPerMs * rules.overloadWindowMs();
    }
}
