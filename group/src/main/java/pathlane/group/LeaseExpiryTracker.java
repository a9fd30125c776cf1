package pathlane.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Tells which leases have surely ended, at whichever voter leads. It counts from when this voter applied a renewal,
 * never from when the renewal was sent, and a voter that has just read the register from elsewhere counts from then.
 * What it proposes is void if a renewal gets in between: the register compares the number.
 */
public final class LeaseExpiryTracker {

    private record Seen(long renewals, long atNanos) {}

    private final LeaseTerms terms;
    private final Map<Long, Seen> seen = new HashMap<>();

    /** Has seen no lease yet. */
    public LeaseExpiryTracker(LeaseTerms terms) {
        this.terms = terms;
    }

    /** Looks at the register, after each command or each so often; returns what is to be proposed. */
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

    /** What this voter knows of times is worth nothing: it did not follow the register for a while. */
    public void reset() {
        seen.clear();
    }
}
