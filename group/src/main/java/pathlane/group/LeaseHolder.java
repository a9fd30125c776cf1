package pathlane.group;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import pathlane.core.Scheduler;

/**
 * A call controller's own lease: requested, renewed, lapsed, lost, and requested anew. It alone says whether the lease is
 * valid. On the loop's thread.
 *
 * <p>A lease that lapses is not lost: nobody may know yet, and a renewal that the register takes makes it valid again.
 * It is lost once the register says that it has ended.
 */
public final class LeaseHolder {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration ASK_AGAIN = Duration.ofMillis(250);
    private static final Duration GRAIN = Duration.ofMillis(1);
    private static final Duration REFUSED_AGAIN = Duration.ofSeconds(5);

    /** Whoever acts by the lease, notified of its states. */
    public interface Listener {
        /** A lease was granted; the one before it, if any, was reported as lost. */
        void granted(long token);

        /** The lease is no longer valid: nothing may be done by it. */
        void lapsed();

        /** The lease that lapsed is valid again, and nobody has acted for this member meanwhile. */
        void validAgain();

        /** The lease has ended in the register: others may act for this member, or do. */
        void lost(long token);
    }

    private final String name;
    private final long incarnation;
    private final String address;
    private final int copies;
    private final LeaseTerms terms;
    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final LongSupplier nanos;
    private final Listener listener;
    /** The lease that this process has, 0 while it has none. */
    private long token;
    /** The last one that it had. */
    private long last;
    private long renewals;
    private long validUntil = Long.MIN_VALUE;
    private boolean lapsed;
    private boolean leaving;
    private boolean emptied;
    private boolean asking;
    private Scheduler.Timer lapse;
    private Scheduler.Timer next;

    /**
     * Asks for nothing yet.
     *
     * @param nanos the monotonic clock
     */
    public LeaseHolder(String name, long incarnation, String address, int copies, LeaseTerms terms, RegistryAccess registry,
            Scheduler scheduler, LongSupplier nanos, Listener listener) {
        this.name = name;
        this.incarnation = incarnation;
        this.address = address;
        this.copies = copies;
        this.terms = terms;
        this.registry = registry;
        this.scheduler = scheduler;
        this.nanos = nanos;
        this.listener = listener;
    }

    /** Asks for a lease, and goes on asking and renewing. */
    public void start() {
        turn();
    }

    /** The lease's token, valid or not; 0 while there is none. */
    public long token() {
        return token;
    }

    /** Whether the lease is valid now. Asked where bytes are written: what passes after this is the write lag. */
    public boolean isValid() {
        return token != 0 && !leaving && nanos.getAsLong() < validUntil;
    }

    /** Whether there is a lease, and it has lapsed. */
    public boolean hasLapsed() {
        return token != 0 && !leaving && !isValid();
    }

    /** All that kept records for this member have said that they dropped them: nobody can act for it any more. */
    public void replicasDropped() {
        emptied = true;
    }

    /** A planned end: from now on nothing is done by the lease, and what is left may be claimed at once. */
    public void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        cancelLapse();
        if (token != 0) {
            askToLeave();
        }
    }

    private void askToLeave() {
        registry.submit(new Command.Leave(token), answered -> {
            if (answered.isEmpty()) {
                scheduler.after(ASK_AGAIN, this::askToLeave);
            }
        });
    }

    /** One renewal, or one try for a lease; then the next. */
    private void turn() {
        if (leaving || asking) {
            return;
        }
        if (next != null) {
            next.cancel();
        }
        asking = true;
        long sentAt = nanos.getAsLong();
        if (token == 0) {
            boolean saysEmptied = emptied;
            registry.submit(new Command.Join(name, incarnation, address, last, copies, saysEmptied),
                    answered -> joined(answered, sentAt));
        } else {
            long asked = token;
            registry.submit(new Command.Renew(List.of(new Command.Renewal(asked, ++renewals))),
                    answered -> renewed(asked, answered, sentAt));
        }
    }

    private void next(Duration wait) {
        asking = false;
        next = scheduler.after(wait, this::turn);
    }

    private void joined(Optional<Reply> answered, long sentAt) {
        if (leaving) {
            return;
        }
        if (answered.isPresent() && answered.get() instanceof Reply.Granted granted) {
            token = granted.token();
            last = token;
            renewals = 0;
            emptied = false;
            lapsed = false;
            validUntil = sentAt + terms.validFor().toNanos();
            LOG.log(Level.INFO, "lease {0} granted to {1}", Long.toString(token), name);
            listener.granted(token);
            watchLapse();
            next(terms.renewInterval());
        } else if (answered.isPresent() && answered.get() instanceof Reply.Refused refused) {
            LOG.log(Level.WARNING, "no lease for {0}: {1}", name, refused.why());
            next(REFUSED_AGAIN);
        } else {
            next(ASK_AGAIN);
        }
    }

    private void renewed(long asked, Optional<Reply> answered, long sentAt) {
        if (leaving) {
            return;
        }
        if (asked != token) {
            next(Duration.ZERO);   // seen to have ended while the answer was on its way
        } else if (answered.isPresent() && answered.get() instanceof Reply.Ended ended && ended.tokens().contains(asked)) {
            lose();
            next(Duration.ZERO);
        } else if (answered.isPresent()) {
            validUntil = Math.max(validUntil, sentAt + terms.validFor().toNanos());
            if (lapsed && isValid()) {
                lapsed = false;
                emptied = false;   // records are sent again from now on
                LOG.log(Level.INFO, "lease {0} is valid again", Long.toString(token));
                listener.validAgain();
            }
            watchLapse();
            next(terms.renewInterval().minusNanos(Math.min(terms.renewInterval().toNanos(), nanos.getAsLong() - sentAt)));
        } else {
            next(ASK_AGAIN);
        }
    }

    /** The register was seen to have ended the lease. */
    public void observedEnd(long ended) {
        if (ended == token && token != 0 && !leaving) {
            lose();
            if (!asking) {
                turn();
            }
        }
    }

    private void lose() {
        long ended = token;
        token = 0;
        validUntil = Long.MIN_VALUE;
        cancelLapse();
        LOG.log(Level.WARNING, "lease {0} has ended in the register; {1} asks for another", Long.toString(ended), name);
        listener.lost(ended);
    }

    private void watchLapse() {
        cancelLapse();
        Duration left = Duration.ofNanos(validUntil - nanos.getAsLong());
        // The two clocks differ: a timer that comes early is set again, and must not come at once each time.
        lapse = scheduler.after(left.compareTo(GRAIN) > 0 ? left : GRAIN, this::lapseIfDue);
    }

    private void lapseIfDue() {
        if (token == 0 || leaving || lapsed) {
            return;
        }
        if (isValid()) {
            watchLapse();
            return;
        }
        lapsed = true;
        LOG.log(Level.WARNING, "lease {0} has lapsed: the register was not reached in time", Long.toString(token));
        listener.lapsed();
    }

    private void cancelLapse() {
        if (lapse != null) {
            lapse.cancel();
            lapse = null;
        }
    }
}
