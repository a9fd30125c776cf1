package pathlane.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;

/**
 * The connections to one server: which are up or dialled, when another is dialled, and which takes the next message. All
 * servers' connections share one number of descriptors, so the first is dialled when the server is first listed only while
 * many are left, and else on demand; the others when those that are up are busy.
 */
final class ConnectionPool {

    private static final Duration REDIAL_FIRST = Duration.ofMillis(100);
    private static final Duration REDIAL_MOST = Duration.ofSeconds(1);
    /** A server is dialled at its listing only while less than this part of the descriptors for servers is held. */
    private static final int DIAL_AHEAD_PART = 4;
    /** Another connection beside busy ones is dialled only while less than this part of the descriptors is held. */
    private static final int DIAL_MORE_PART = 2;
    /** A connection that gave way is opened again after this, or up to half as much more: ends may wait there. */
    private static final Duration REOPEN_AFTER_GIVING_WAY = Duration.ofSeconds(3);
    /** A server that was not dialled at its listing is visited within so long: ends of older calls may wait there. */
    private static final Duration FIRST_VISIT = Duration.ofSeconds(4);
    /** Servers that are listed later after the program's start are new to all. */
    private static final Duration START_UP = Duration.ofSeconds(5);
    /** So long after the program's start hardly any call from before it stands. */
    private static final Duration OLDER_CALLS = Duration.ofSeconds(30);

    private final ServerLinkContext context;
    private final InetSocketAddress address;
    private final Supplier<ServerSession> newSession;
    private final Runnable noDescriptor;
    private final List<ServerSession> sessions = new ArrayList<>();
    private Duration redialDelay = REDIAL_FIRST;
    private Scheduler.Timer redialTimer;
    private Scheduler.Timer extraVisit;
    /** No further connection beside those that are up is dialled before this. */
    private Instant noMoreBefore = Instant.MIN;
    private boolean closed;

    /**
     * Dials nothing yet.
     *
     * @param noDescriptor called in a turn of its own when a connection could not be dialled, since each descriptor is in
     *                     use by a set-up that is out
     */
    ConnectionPool(ServerLinkContext context, InetSocketAddress address, Supplier<ServerSession> newSession,
            Runnable noDescriptor) {
        this.context = context;
        this.address = address;
        this.newSession = newSession;
        this.noDescriptor = noDescriptor;
    }

    /** Dials the server at its listing where there are descriptors for it, and visits it later where there are not. */
    void dialAtListing() {
        if (context.connections().isBelowShare(DIAL_AHEAD_PART)) {
            dialOne();
        } else if (context.now().isBefore(context.startedAt().plus(START_UP))) {
            redialTimer = context.scheduler().after(randomUpTo(FIRST_VISIT), this::visit);
        }
    }

    /**
     * Guards calls from before the program's start: a server tells their ends on the next connection that it gets from
     * here, and the caller is owed them within 8 s. Spread, so that a start is no burst of hundreds of connections.
     */
    private void visit() {
        redialTimer = null;
        if (!closed && sessions.isEmpty()) {
            dialIfNone();
            if (sessions.isEmpty()) {
                redialTimer = context.scheduler().after(REDIAL_MOST, this::visit);   // no descriptor was left
            }
        }
    }

    /** Guards the ends of standing calls that were told on a connection that broke: the next one that opens hears them. */
    void visitAnew() {
        if (extraVisit == null) {
            extraVisit = context.scheduler().after(randomUpTo(REDIAL_FIRST), () -> {
                extraVisit = null;
                if (!closed && hasRoom()) {
                    dialOne();
                }
            });
        }
    }

    /** Dials where nothing is up or dialled; a connection that is being closed is neither. */
    void dialIfNone() {
        if (!closed && sessions.stream().allMatch(ServerSession::isEnding)) {
            dialOne();
        }
    }

    private void dialOne() {
        ServerSession session = newSession.get();
        if (context.connections().tryAdmit(session, session::end)) {
            sessions.add(session);
            context.dialer().connect(address, context.settings().connectTimeout(), session);
        } else {
            context.scheduler().after(Duration.ZERO, noDescriptor);
        }
    }

    /** Dials one more where a set-up goes to a connection that is busy: the next set-up finds it. */
    void growBeside(ServerSession chosen) {
        if (!chosen.isBusy() || !hasRoom() || !context.connections().isBelowShare(DIAL_MORE_PART) || !mayDialMore()) {
            return;
        }
        noMoreBefore = context.now().plus(REDIAL_FIRST);
        dialOne();
    }

    /** Sees to it that a connection is being dialled for set-ups that wait; false where none may be. */
    boolean dialForWaiting() {
        if (isDialling()) {
            return true;
        }
        if (leastBusy() == null) {
            dialIfNone();
            return true;
        }
        if (hasRoom() && mayDialMore()) {
            dialOne();
            return true;
        }
        return false;
    }

    private boolean hasRoom() {
        return sessions.size() < context.limits().connections();
    }

    private boolean mayDialMore() {
        return !context.now().isBefore(noMoreBefore);
    }

    private Duration randomUpTo(Duration most) {
        return Duration.ofNanos(context.random().nextLong(most.toNanos()));
    }

    /** The connection for what comes next: the one with the fewest set-ups out, or null while none is up. */
    ServerSession leastBusy() {
        return leastBusy(ServerSession::isUp);
    }

    /** The connection for a call's set-up, or null where none may take it. */
    ServerSession leastBusyFor(String call) {
        return leastBusy(session -> session.mayTakeSetUp(call));
    }

    /** The connection for what comes next but for one that is about to end, or null where no other can be written to. */
    ServerSession leastBusyBeside(ServerSession ending) {
        return leastBusy(session -> session != ending && session.isWritable());
    }

    private ServerSession leastBusy(Predicate<ServerSession> usable) {
        ServerSession best = null;
        for (ServerSession session : sessions) {
            if (usable.test(session) && (best == null || session.setUpsOut() < best.setUpsOut())) {
                best = session;
            }
        }
        return best;
    }

    boolean isEmpty() {
        return sessions.isEmpty();
    }

    boolean isDialling() {
        return sessions.stream().anyMatch(ServerSession::isDialling);
    }

    boolean isAnyUpBeside(ServerSession session) {
        return sessions.stream().anyMatch(other -> other != session && other.isUp());
    }

    /** A copy, which stays as it is while connections end. */
    List<ServerSession> sessions() {
        return List.copyOf(sessions);
    }

    /** A connection has come up. */
    void opened() {
        redialDelay = REDIAL_FIRST;
    }

    /** A dial has failed. */
    void dialFailed() {
        noMoreBefore = context.now().plus(REDIAL_MOST);
    }

    /** A connection has ended, or could not be dialled. */
    void remove(ServerSession session) {
        sessions.remove(session);
        context.connections().closed(session);
    }

    /**
     * Nothing is up or dialled any more: dials anew in a while where what concerns standing calls may come on the next
     * connection. Spread: a server that restarts is dialled by the whole fleet.
     *
     * @param isNeeded whether calls stand at the server, or releases wait for it
     */
    void redialAfter(CloseReason end, boolean isNeeded) {
        boolean gaveWay = end == CloseReason.EVICTED;
        boolean olderCallsMayStand = gaveWay && context.now().isBefore(context.startedAt().plus(OLDER_CALLS));
        if (closed || !isNeeded && !olderCallsMayStand) {
            return;
        }
        Duration delay = gaveWay ? REOPEN_AFTER_GIVING_WAY : redialDelay;
        redialTimer = context.scheduler().after(delay.plus(randomUpTo(delay.dividedBy(2))), this::visit);
        Duration doubled = redialDelay.multipliedBy(2);
        redialDelay = doubled.compareTo(REDIAL_MOST) < 0 ? doubled : REDIAL_MOST;
    }

    /** Dials nothing any more and hands over the connections that were left. */
    List<ServerSession> close() {
        closed = true;
        if (extraVisit != null) {
            extraVisit.cancel();
        }
        if (redialTimer != null) {
            redialTimer.cancel();
        }
        List<ServerSession> left = List.copyOf(sessions);
        sessions.clear();
        return left;
    }

    boolean isClosed() {
        return closed;
    }
}
