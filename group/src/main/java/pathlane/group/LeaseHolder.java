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
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration MIN_TIMER_DELAY = Duration.ofMillis(1);
    private static final Duration REFUSED_RETRY_INTERVAL = Duration.ofSeconds(5);

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
    private final int replicaCount;
    private final LeaseTerms terms;
    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final Listener listener;
    /** The token of the current lease, 0 while there is none. */
    private long token;
    /** The token of the latest lease of this process, 0 before the first. */
    private long latestToken;
    private long renewalNumber;
    private long validUntilNanos = Long.MIN_VALUE;
    private boolean isLapseReported;
    private boolean isLeaving;
    private boolean areReplicasDropped;
    private boolean isRequestPending;
    private Scheduler.Timer lapseTimer;
    private Scheduler.Timer requestTimer;

    /**
     * Creates a holder without a lease; {@link #start} requests one.
     *
     * @param nanoClock the monotonic clock
     */
    public LeaseHolder(String name, long incarnation, String address, int replicaCount, LeaseTerms terms,
            RegistryAccess registry, Scheduler scheduler, LongSupplier nanoClock, Listener listener) {
        this.name = name;
        this.incarnation = incarnation;
        this.address = address;
        this.replicaCount = replicaCount;
        this.terms = terms;
        this.registry = registry;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
        this.listener = listener;
    }

    /** Requests a lease, then keeps renewing it or requesting a new one. */
    public void start() {
        submitRequest();
    }

    /** The token of the current lease, valid or not; 0 while there is none. */
    public long token() {
        return token;
    }

    /** Whether the lease is valid now. Checked right before a write: the time from here to the write is the write lag. */
    public boolean isValid() {
        return token != 0 && !isLeaving && nanoClock.getAsLong() < validUntilNanos;
    }

    /** Whether there is a lease and it has lapsed. */
    public boolean hasLapsed() {
        return token != 0 && !isLeaving && !isValid();
    }

    /** All replica holders have confirmed that they dropped this member's records: no member can act for it any more. */
    public void replicasDropped() {
        areReplicasDropped = true;
    }

    /** Gives the lease up: it is invalid from now on, and the remaining shards may be claimed at once. */
    public void leave() {
        if (isLeaving) {
            return;
        }
        isLeaving = true;
        cancelLapseTimer();
        if (token != 0) {
            submitLeave();
        }
    }

    private void submitLeave() {
        registry.submit(new Command.Leave(token), reply -> {
            if (reply.isEmpty()) {
                scheduler.after(RETRY_INTERVAL, this::submitLeave);
            }
        });
    }

    /** Submits one renewal, or one request for a lease; its reply schedules the next. */
    private void submitRequest() {
        if (isLeaving || isRequestPending) {
            return;
        }
        if (requestTimer != null) {
            requestTimer.cancel();
        }
        isRequestPending = true;
        long sentAtNanos = nanoClock.getAsLong();
        if (token == 0) {
            boolean reportsReplicasDropped = areReplicasDropped;
            registry.submit(new Command.Join(name, incarnation, address, latestToken, replicaCount, reportsReplicasDropped),
                    reply -> onJoinReply(reply, sentAtNanos));
        } else {
            long renewedToken = token;
            registry.submit(new Command.Renew(List.of(new Command.Renewal(renewedToken, ++renewalNumber))),
                    reply -> onRenewReply(renewedToken, reply, sentAtNanos));
        }
    }

    private void scheduleRequest(Duration delay) {
        isRequestPending = false;
        requestTimer = scheduler.after(delay, this::submitRequest);
    }

    private void onJoinReply(Optional<Reply> reply, long sentAtNanos) {
        if (isLeaving) {
            return;
        }
        if (reply.isPresent() && reply.get() instanceof Reply.Granted granted) {
            token = granted.token();
            latestToken = token;
            renewalNumber = 0;
            areReplicasDropped = false;
            isLapseReported = false;
            validUntilNanos = sentAtNanos + terms.validFor().toNanos();
            LOG.log(Level.INFO, "lease {0} granted to {1}", Long.toString(token), name);
            listener.granted(token);
            startLapseTimer();
            scheduleRequest(terms.renewalInterval());
        } else if (reply.isPresent() && reply.get() instanceof Reply.Refused refused) {
            LOG.log(Level.WARNING, "lease request of {0} was refused: {1}", name, refused.reason());
            scheduleRequest(REFUSED_RETRY_INTERVAL);
        } else {
            scheduleRequest(RETRY_INTERVAL);
        }
    }

    private void onRenewReply(long renewedToken, Optional<Reply> reply, long sentAtNanos) {
        if (isLeaving) {
            return;
        }
        if (renewedToken != token) {
            scheduleRequest(Duration.ZERO);   // the lease was seen to have ended while the reply was in flight
        } else if (reply.isPresent() && reply.get() instanceof Reply.Ended ended && ended.tokens().contains(renewedToken)) {
            loseLease();
            scheduleRequest(Duration.ZERO);
        } else if (reply.isPresent()) {
            validUntilNanos = Math.max(validUntilNanos, sentAtNanos + terms.validFor().toNanos());
            if (isLapseReported && isValid()) {
                isLapseReported = false;
                areReplicasDropped = false;   // records are replicated again from now on
                LOG.log(Level.INFO, "lease {0} is valid again", Long.toString(token));
                listener.validAgain();
            }
            startLapseTimer();
            scheduleRequest(terms.renewalInterval()
                    .minusNanos(Math.min(terms.renewalInterval().toNanos(), nanoClock.getAsLong() - sentAtNanos)));
        } else {
            scheduleRequest(RETRY_INTERVAL);
        }
    }

    /** The registry was seen to have ended this lease. */
    public void observedEnd(long endedToken) {
        if (endedToken == token && token != 0 && !isLeaving) {
            loseLease();
            if (!isRequestPending) {
                submitRequest();
            }
        }
    }

    private void loseLease() {
        long endedToken = token;
        token = 0;
        validUntilNanos = Long.MIN_VALUE;
        cancelLapseTimer();
        LOG.log(Level.WARNING, "lease {0} has ended in the registry; {1} requests a new one", Long.toString(endedToken),
                name);
        listener.lost(endedToken);
    }

    private void startLapseTimer() {
        cancelLapseTimer();
        Duration remaining = Duration.ofNanos(validUntilNanos - nanoClock.getAsLong());
        // The scheduler's clock differs from the lease's: a timer that fires early is set again, and must not fire at once
        // each time.
        lapseTimer =
                scheduler.after(remaining.compareTo(MIN_TIMER_DELAY) > 0 ? remaining : MIN_TIMER_DELAY, this::checkLapse);
    }

    private void checkLapse() {
        if (token == 0 || isLeaving || isLapseReported) {
            return;
        }
        if (isValid()) {
            startLapseTimer();
            return;
        }
        isLapseReported = true;
        LOG.log(Level.WARNING, "lease {0} has lapsed: the registry did not confirm a renewal in time", Long.toString(token));
        listener.lapsed();
    }

    private void cancelLapseTimer() {
        if (lapseTimer != null) {
            lapseTimer.cancel();
            lapseTimer = null;
        }
    }
}
