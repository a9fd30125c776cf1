package pathlane.group;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import pathlane.core.Scheduler;

/**
 * Requests, renews and tracks the lease of this call controller, and requests a new one after a loss. It alone decides
 * whether the lease is valid. Confined to the event loop's thread.
 *
 * <p>A lapsed lease is not lost yet: the registry may not have expired it, and the next renewal that the registry accepts
 * makes it valid again. It is lost once the registry reports that it has ended.
 */
public final class LeaseHolder {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration ASK_AGAIN = Duration.ofMillis(250);
    private static final Duration GRAIN = Duration.ofMillis(1);
    private static final Duration REFUSED_AGAIN = Duration.ofSeconds(5);

    /** Notified of the states of the lease by which it acts. */
    public interface Listener {
        /** A lease was granted; the previous one, if any, was reported as lost before. */
        void granted(long token);

        /** The lease is no longer valid: its holder must not act by it. */
        void lapsed();

        /** The lapsed lease is valid again, and no other member has acted for this one in the meantime. */
        void validAgain();

        /** The lease has ended in the registry: other members may already act for this one. */
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
    /** The token of the current lease, 0 while there is none. */
    private long token;
    /** The token of the latest lease of this process, 0 before the first. */
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
     * Creates a holder without a lease; {@link #start} requests one.
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

    /** Requests a lease, then keeps renewing it or requesting a new one. */
    public void start() {
        turn();
    }

    /** The token of the current lease, valid or not; 0 while there is none. */
    public long token() {
        return token;
    }

    /** Whether the lease is valid now. Checked right before a write: the time from here to the write is the write lag. */
    public boolean isValid() {
        return token != 0 && !leaving && nanos.getAsLong() < validUntil;
    }

    /** Whether there is a lease and it has lapsed. */
    public boolean hasLapsed() {
        return token != 0 && !leaving && !isValid();
    }

    /** All replica holders have confirmed that they dropped this member's records: no member can act for it any more. */
    public void replicasDropped() {
        emptied = true;
    }

    /** Gives the lease up: it is invalid from now on, and the remaining shards may be claimed at once. */
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

    /** Submits one renewal, or one request for a lease; its reply schedules the next. */
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
            LOG.log(Level.WARNING, "lease request of {0} was refused: {1}", name, refused.why());
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
            next(Duration.ZERO);   // the lease was seen to have ended while the reply was in flight
        } else if (answered.isPresent() && answered.get() instanceof Reply.Ended ended && ended.tokens().contains(asked)) {
            lose();
            next(Duration.ZERO);
        } else if (answered.isPresent()) {
            validUntil = Math.max(validUntil, sentAt + terms.validFor().toNanos());
            if (lapsed && isValid()) {
                lapsed = false;
                emptied = false;   // records are replicated again from now on
                LOG.log(Level.INFO, "lease {0} is valid again", Long.toString(token));
                listener.validAgain();
            }
            watchLapse();
            next(terms.renewInterval().minusNanos(Math.min(terms.renewInterval().toNanos(), nanos.getAsLong() - sentAt)));
        } else {
            next(ASK_AGAIN);
        }
    }

    /** The registry was seen to have ended this lease. */
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
        LOG.log(Level.WARNING, "lease {0} has ended in the registry; {1} requests a new one", Long.toString(ended), name);
        listener.lost(ended);
    }

    private void watchLapse() {
        cancelLapse();
        Duration left = Duration.ofNanos(validUntil - nanos.getAsLong());
        // The scheduler's clock differs from the lease's: a timer that fires early is set again, and must not fire at once
        // each time.
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
        LOG.log(Level.WARNING, "lease {0} has lapsed: the registry did not confirm a renewal in time", Long.toString(token));
        listener.lapsed();
    }

    private void cancelLapse() {
        if (lapse != null) {
            lapse.cancel();
            lapse = null;
        }
    }
}
