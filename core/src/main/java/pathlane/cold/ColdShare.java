package pathlane.cold;

import java.util.HashMap;
import java.util.Map;
import pathlane.config.Settings.ColdSenders;
import pathlane.config.Settings.Rules;

/**
 * One sender's part of what a server that has just started may be sent by all senders together, where what a warm
 * server can do is stated. Needs no talk among senders, only that each knows how many they are and its own number.
 *
 * <p>The senders' common budget at time t after the start is C(t), the integral of
 * {@code USED * fall-multiple * warmth(t) * rate}. Set-up j of the common budget ripens at C = j + 1 and belongs to
 * sender j modulo the count; it is spoilt once the budget has grown by a further {@code KEPT} share of a window.
 * In any window of {@code fall-ms} what is sent by all is then what ripens in it and what had ripened and was not yet
 * spoilt at its beginning: at most {@code (USED + KEPT) * fall-multiple * capacity * fall-ms}, and {@code USED + KEPT}
 * is under one, whatever the senders' loads are and however they change. Warmth grows, so a window's mean capacity is
 * at least the capacity at its beginning; the budget is taken at the window's beginning by the rule.
 *
 * <p>Times are milliseconds on one clock that all senders share, since a server's start is told on it; a clock that is
 * off shifts a sender's set-ups by as much. Not thread-safe.
 */
public final class ColdShare {

    /** Of the rule's budget, what ripens. Half, as in the module: the rest is for what can't be known. */
    private static final double USED = 0.5;
    /** Of the rule's budget, what may lie ripe at one time. */
    private static final double KEPT = 0.25;

    private final Rules rules;
    private final double perMs;
    private final Map<Long, Cold> servers = new HashMap<>();
    private int senders;
    private int own;

    private static final class Cold {
        final double since;
        /** The first set-up of the common budget that this sender has not yet used or let spoil. */
        double next;

        Cold(double since) {
            this.since = since;
        }
    }

    /**
     * A share that knows no server yet.
     *
     * @param all what a warm server can do, how many senders share the budget, and which one this is
     */
    public ColdShare(Rules rules, ColdSenders all) {
        this.rules = rules;
        this.perMs = all.perSecond() / 1000;
        count(all.senders(), all.number());
    }

    /**
     * The count of senders, or the own number among them, is another one from now on. While senders disagree on the
     * count the sum may pass the budget; whoever changes it live lets all stop for one window first.
     *
     * @throws IllegalArgumentException where there is no such sender
     */
    public void count(int senders, int own) {
        if (senders < 1 || own < 0 || own >= senders) {
            throw new IllegalArgumentException("sender " + own + " of " + senders + ": numbers run from 0 to "
                    + (senders - 1));
        }
        this.senders = senders;
        this.own = own;
        servers.values().forEach(server -> server.next = -1);
    }

    /** A server started then. It is held to be cold from that time on for the rule's span. */
    public void started(long server, double at) {
        Cold known = servers.get(server);
        if (known == null || known.since != at) {
            Cold cold = new Cold(at);
            cold.next = -1;
            servers.put(server, cold);
        }
    }

    /** A server has gone from the list, or is warm. */
    public void forget(long server) {
        servers.remove(server);
    }

    /** Whether this sender may send the server one set-up more at this time; always for one that is not cold. */
    public boolean mayTake(long server, double now) {
        Cold cold = servers.get(server);
        if (cold == null) {
            return true;
        }
        if (now - cold.since >= rules.coldMs()) {
            servers.remove(server);
            return true;
        }
        double ripe = budget(now - cold.since);
        double spoilt = ripe - Math.max(1, KEPT * window(now - cold.since));
        double from = Math.max(cold.next, Math.max(0, Math.floor(spoilt)));
        cold.next = mine(from);
        return cold.next + 1 <= ripe;
    }

    /** A set-up that {@link #mayTake} allowed has been sent. */
    public void taken(long server) {
        Cold cold = servers.get(server);
        if (cold != null) {
            cold.next = mine(cold.next + 1);
        }
    }

    /** The first set-up of the common budget from this one on that belongs to this sender. */
    private double mine(double from) {
        double turn = Math.floor((from - own + senders - 1) / senders);
        return Math.max(0, turn) * senders + own;
    }

    /** What has ripened for all senders so long after the start, in set-ups. */
    private double budget(double sinceMs) {
        double t = Math.max(0, Math.min(sinceMs, rules.coldMs()));
        double warm = rules.coldMs() > 0 ? (1 - rules.coldFrom()) / rules.coldMs() : 0;
        return USED * rules.fallMultiple() * perMs * (rules.coldFrom() * t + warm * t * t / 2);
    }

    /** What the rule allows all senders in one window that begins so long after the start, in set-ups. */
    private double window(double sinceMs) {
        double warmth = rules.coldMs() > 0
                ? rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, sinceMs) / rules.coldMs() : 1;
        return rules.fallMultiple() * Math.min(1, warmth) * perMs * rules.fallMs();
    }
}
