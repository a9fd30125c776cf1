package pathlane.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Finds the leases that are certain to have ended, at the voter that leads. It counts from the moment this voter applied a
 * renewal, never from when the renewal was sent; a voter that has just loaded the registry from a snapshot counts from
 * that load. A proposed expiry has no effect if a renewal is applied first: the registry compares the renewal number.
 */
public final class LeaseExpiryTracker {

    private record Seen(long renewals, long atNanos) {}

    private final LeaseTerms terms;
    private final Map<Long, Seen> seen = new HashMap<>();

    /** Creates a tracker that has observed no lease yet. */
    public LeaseExpiryTracker(LeaseTerms terms) {
        this.terms = terms;
    }

    /** Observes the registry's renewal numbers, at each tick of the voter; returns the expiries to propose. */
    public List<Command.Expire> dueLeases(LeaseRegistry register, long nowNanos) {
        List<Command.Expire> due = new ArrayList<>();
        for (Member member : register.members()) {
            long renewals = register.renewals(member.token());
            Seen before = seen.get(member.token());
            if (before == null || before.renewals != renewals) {
                seen.put(member.token(), new Seen(renewals, nowNanos));
            } else if (nowNanos - before.atNanos > terms.expireAfter().toNanos()) {
                due.add(new Command.Expire(member.token(), renewals));
            }
        }
        for (Iterator<Long> tokens = seen.keySet().iterator(); tokens.hasNext();) {
            if (!register.isLive(tokens.next())) {
                tokens.remove();
            }
        }
        return due;
    }

    /** Discards all observed times, after a span in which this voter could not apply renewals as they came. */
    public void reset() {
        seen.clear();
    }
}
