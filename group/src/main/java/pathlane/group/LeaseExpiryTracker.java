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

    private record Observation(long renewals, long observedAtNanos) {}

    private final LeaseTerms terms;
    private final Map<Long, Observation> observations = new HashMap<>();

    /** Creates a tracker that has observed no lease yet. */
    public LeaseExpiryTracker(LeaseTerms terms) {
        this.terms = terms;
    }

    /** Observes the registry's renewal numbers, at each tick of the voter; returns the expiries to propose. */
    public List<Command.Expire> dueLeases(LeaseRegistry registry, long nowNanos) {
        List<Command.Expire> due = new ArrayList<>();
        for (Member member : registry.members()) {
            long renewals = registry.renewals(member.token());
            Observation previous = observations.get(member.token());
            if (previous == null || previous.renewals != renewals) {
                observations.put(member.token(), new Observation(renewals, nowNanos));
            } else if (nowNanos - previous.observedAtNanos > terms.expireAfter().toNanos()) {
                due.add(new Command.Expire(member.token(), renewals));
            }
        }
        for (Iterator<Long> tokens = observations.keySet().iterator(); tokens.hasNext();) {
            if (!registry.isLive(tokens.next())) {
                tokens.remove();
            }
        }
        return due;
    }

    /** Discards all observed times, after a span in which this voter could not apply renewals as they came. */
    public void reset() {
        observations.clear();
    }
}
