package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.config.file.ServerLimits;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.transport.Connection;
import pathlane.transport.FrameDeadline;
import pathlane.transport.Protocol;
import pathlane.wire.BadInput;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * One connection to a session server: the set-ups that are out on it, what the server says of them, and when the connection
 * is to end. On the loop's thread.
 */
final class ServerSession implements Protocol {

    private static final Logger LOG = System.getLogger("servers");
    private static final byte[] NOTHING = {};
    /** Longer than any connection without calls that stand is idle. */
    private static final Duration GIVES_WAY_LAST = Duration.ofDays(1);
    /** The least wait before an idle connection that may not be closed yet is looked at again. */
    private static final Duration IDLE_RECHECK = Duration.ofSeconds(1);
    /** More releases at once would count as what the server leaves unread. */
    private static final int RELEASES_AT_ONCE = 256;

    private final ServerLink link;
    private final ServerLinkContext context;
    private final ServerLimits limits;
    private final Scheduler scheduler;
    private final Duration idleTimeout;
    private final Duration longestPatience;
    private final FrameAssembler assembler = Message.assembler();
    private final FrameDeadline frameDeadline;
    /** Set-ups that are out on this connection, in the order in which they were sent. */
    private final Map<String, SentMessage> sent = new LinkedHashMap<>();
    /** Set-ups that were given up here and of which the server has said nothing since, and when. */
    private final Map<String, Instant> givenUp = new LinkedHashMap<>();
    private final UnconfirmedReleases unconfirmedReleases;
    private final ReportIntervals reports;
    private final OvertakenCheck overtakenCheck;
    private Connection connection;
    private Scheduler.Timer idleTimer;
    private Scheduler.Timer silenceTimer;
    /** When a message was last written or bytes were last received. */
    private Instant lastUsed;
    /** When the last whole message was received. */
    private Instant lastReceived;
    private boolean ending;

    /** A connection that is yet to be dialled. */
    ServerSession(ServerLink link, ServerLinkContext context) {
        this.link = link;
        this.context = context;
        this.limits = context.limits();
        this.scheduler = context.scheduler();
        this.idleTimeout = context.idleTimeout();
        this.longestPatience = context.settings().longestDeadline();
        this.frameDeadline = new FrameDeadline(scheduler, limits.unfinished(), () -> end(CloseReason.UNFINISHED));
        this.unconfirmedReleases = new UnconfirmedReleases(limits.waitingReleases());
        this.reports = new ReportIntervals(context.reportPeriod());
        this.overtakenCheck = new OvertakenCheck(context, link.outstanding(), () -> lastReceived, this::endAsOvertaken);
    }

    /** Whether the connection has not come up, and has not since failed to. */
    boolean isDialling() {
        return connection == null;
    }

    boolean isUp() {
        return connection != null && !ending;
    }

    boolean isEnding() {
        return ending;
    }

    /** Whether it is up and all that was written before this turn has left. */
    boolean isWritable() {
        return isUp() && !connection.isBlocked();
    }

    /** Whether a set-up is out on it. */
    boolean isBusy() {
        return !sent.isEmpty();
    }

    int setUpsOut() {
        return sent.size();
    }

    /** Whether the server may still answer an attempt of this call that was given up. */
    boolean hasGivenUp(String call) {
        return givenUp.containsKey(call);
    }

    /**
     * Whether a set-up may go here: all that was written has left, so that the set-up does not leave after a drain, and the
     * server can't answer an attempt of the same call that was given up.
     */
    boolean mayTakeSetUp(String call) {
        return isWritable() && !overtakenCheck.isSuspected() && !hasGivenUp(call);
    }

    /** One with nothing out on it may give way to a connection to another server; one with calls last. */
    @Override
    public Optional<Instant> idleSince() {
        return !isUp() || isBusy() ? Optional.empty()
                : Optional.of(link.hasStandingCalls() ? lastUsed.plus(GIVES_WAY_LAST) : lastUsed);
    }

    @Override
    public void opened(Connection up) {
        connection = up;
        if (link.isClosed()) {
            up.close(CloseReason.DELISTED);
            return;
        }
        lastUsed = scheduler.now();
        lastReceived = lastUsed;
        link.opened(this);
        idleTimer = scheduler.after(idleTimeout, this::closeIfIdle);
        silenceTimer = scheduler.after(context.longestSilence(), this::closeIfSilent);
        LOG.log(Level.INFO, "server {0} at {1} is up", link.name(), up.remote());
        link.sendPending(this);
    }

    void setUp(String call, byte[] bytes) {
        sent.put(call, new SentMessage(scheduler.now(), bytes));
        link.outstanding().sent(call, this);
        write(bytes);
    }

    /** Withdraws a set-up, or tells the server that it is given up, or breaks the connection off. */
    void giveUp(String call) {
        SentMessage setUp = sent.remove(call);
        Connection.Withdrawal withdrawal = connection.cancelWrite(setUp.bytes());
        if (withdrawal == Connection.Withdrawal.WITHDRAWN) {
            return;
        }
        if (withdrawal == Connection.Withdrawal.BOUND || !isWritable()) {
            ending = true;
            connection.abort(CloseReason.OVERFLOW);
            return;
        }
        tellGivenUp(call);
        overtakenCheck.look(setUp.sentAt());
    }

    /** Tells the server that an attempt is given up, sent here or elsewhere; forgets those of calls long past. */
    void tellGivenUp(String call) {
        Instant now = scheduler.now();
        givenUp.values().removeIf(at -> at.isBefore(now.minus(longestPatience)));
        givenUp.put(call, now);
        write(overRelease(call));
        connection.flush();
    }

    /**
     * The server drains. What has not begun to leave is free to go elsewhere; what would leave whenever the server reads
     * again is broken off.
     */
    void withdrawSetUps() {
        if (!isUp()) {
            return;
        }
        boolean isAnyBound = false;
        for (Map.Entry<String, SentMessage> setUp : List.copyOf(sent.entrySet())) {
            String call = setUp.getKey();
            if (connection.cancelWrite(setUp.getValue().bytes()) == Connection.Withdrawal.WITHDRAWN) {
                sent.remove(call);
                link.outstanding().remove(call);
                link.setUpEnded(call, Outcome.UNREACHABLE);
            } else {
                isAnyBound = true;
            }
        }
        if (isAnyBound && connection.isBlocked()) {
            end(CloseReason.OVERFLOW);
        }
    }

    /** Releases a call; should nothing more be received before the connection ends, it is released on the next too. */
    void release(String call, byte[] bytes) {
        unconfirmedReleases.add(call, new SentMessage(scheduler.now(), bytes));
        write(bytes);
    }

    /** Releases calls, in portions. */
    void releaseAll(Map<String, byte[]> releases) {
        int written = 0;
        for (Map.Entry<String, byte[]> release : releases.entrySet()) {
            release(release.getKey(), release.getValue());
            if (++written % RELEASES_AT_ONCE == 0) {
                connection.flush();
            }
        }
    }

    /** Guards against set-ups that cross the other side's close of a connection that idled too long. */
    private void closeIfIdle() {
        Duration left = Duration.between(scheduler.now(), lastUsed.plus(idleTimeout));
        if (left.compareTo(Duration.ZERO) > 0 || isBusy() || link.isDraining()) {
            idleTimer = scheduler.after(left.compareTo(IDLE_RECHECK) > 0 ? left : IDLE_RECHECK, this::closeIfIdle);
        } else {
            end(CloseReason.IDLE);
        }
    }

    /**
     * Guards against calls left standing, and set-ups sent for nothing, at a machine that vanished: it gives no sign, and
     * its connection stays open. A new connection shows whether it is there.
     */
    private void closeIfSilent() {
        Duration left = Duration.between(scheduler.now(), lastReceived.plus(context.longestSilence()));
        if (left.compareTo(Duration.ZERO) > 0) {
            silenceTimer = scheduler.after(left, this::closeIfSilent);
        } else if (reports.hasStarted() && !link.isDraining()) {
            end(CloseReason.SILENT);
        } else {
            silenceTimer = scheduler.after(context.longestSilence(), this::closeIfSilent);
        }
    }

    private void lookIfOvertaken() {
        if (isUp() && isBusy()) {
            overtakenCheck.look(sent.values().iterator().next().sentAt());
        }
    }

    /** What the server has not been heard to answer here is given up on another connection, ahead of the next attempts. */
    private void endAsOvertaken() {
        if (isUp()) {
            link.giveUpBeside(this, sent.keySet());
            link.giveUpBeside(this, givenUp.keySet().stream().filter(call -> !link.isOutOrStands(call)).toList());
            end(CloseReason.OVERTAKEN);
        }
    }

    /**
     * Ends the connection. One that is merely not needed any more is closed in order, and read to its end where the end of a
     * call that stands may cross the close. Others are broken off at once, since what is out on them waits for their end.
     */
    void end(CloseReason why) {
        ending = true;
        if (!why.isVoluntary()) {
            connection.abort(why);
        } else if (link.hasStandingCalls()) {
            connection.finish(why);
        } else {
            connection.close(why);
        }
    }

    private void write(byte[] bytes) {
        lastUsed = scheduler.now();
        connection.write(bytes);
    }

    @Override
    public void received(ByteBuffer bytes) {
        lastUsed = scheduler.now();
        try {
            frameDeadline.bytesReceived(assembler.feed(bytes, frame -> message(Message.read(frame))), assembler.begun());
        } catch (BadInput e) {
            LOG.log(Level.WARNING, "server {0} closed for bad input: {1}", link.name(), e.getMessage());
            bytes.position(bytes.limit());
            end(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void message(Message message) {
        lastReceived = scheduler.now();
        unconfirmedReleases.confirm(lastReceived.minus(limits.firstLines()));
        switch (message.type) {
            case Message.ANSWER -> answer(message.id(), message.value(Message.DESCRIPTION));
            case Message.RELEASE -> released(message.id(), message);
            case Message.RELEASE_HEARD -> givenUp.remove(message.id());   // nothing more comes of what was given up
            case Message.PROGRESS, Message.TEST_RESULT -> {}
            case Message.GROUP_STATE -> {
                reports.reported(scheduler.now());
                link.capacityReported(this, message.text(Message.STATE));
            }
            default -> throw new BadInput("a message of type " + message.type);
        }
    }

    private void answer(String call, byte[] description) {
        if (isOfEarlierAttempt(call)) {
            return;
        }
        if (description == null && sent.containsKey(call)) {
            unusable(call, "no description");
            return;
        }
        setUpEnded(call);
        link.answered(call, description == null ? NOTHING : description);
    }

    private void released(String call, Message message) {
        if (isOfEarlierAttempt(call)) {
            return;
        }
        if (!message.hasCause() && (sent.containsKey(call) || link.stands(call))) {
            unusable(call, "no cause of one byte");
            return;
        }
        setUpEnded(call);
        link.setUpEnded(call, Cause.ending(message.cause(), message.text(Message.NOTE)));
    }

    /**
     * Guards a call's attempt that is out on another connection to this server, or waits for one: what is said here is of
     * an earlier one, which was given up here, and another attempt would be sent beside it.
     */
    private boolean isOfEarlierAttempt(String call) {
        givenUp.remove(call);
        return link.outstanding().sessionOf(call)
                .map(current -> current != this)
                .orElseGet(() -> link.hasPendingSetUp(call));
    }

    /**
     * Ends one call by a message that is whole and can't be used; the others on this connection have no part in it. The
     * server may hold the call's place: it is released.
     */
    private void unusable(String call, String why) {
        LOG.log(Level.WARNING, "server {0}: what it said of call {1} can''t be used: {2}", link.name(), call, why);
        setUpEnded(call);
        release(call, overRelease(call));
        link.setUpEnded(call, Outcome.RESET);
    }

    private static byte[] overRelease(String call) {
        return new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes();
    }

    /** A set-up of this connection has come to its end, and shows what the server has got to. */
    private void setUpEnded(String call) {
        SentMessage setUp = sent.remove(call);
        if (setUp != null) {
            link.outstanding().answered(call, setUp.sentAt());
            link.sessions().forEach(ServerSession::lookIfOvertaken);
        }
    }

    /** The server has gone from the list: what is out here is free to go elsewhere. */
    void delist() {
        stopTimers();
        if (connection != null) {
            connection.abort(CloseReason.DELISTED);
        }
        endSetUps(CloseReason.DELISTED);
    }

    private void stopTimers() {
        frameDeadline.stop();
        overtakenCheck.stop();
        if (idleTimer != null) {
            idleTimer.cancel();
            silenceTimer.cancel();
        }
    }

    /** What was out here has come to its end with the connection. */
    void endSetUps(CloseReason end) {
        List<String> broken = List.copyOf(sent.keySet());
        sent.clear();
        broken.forEach(link.outstanding()::remove);
        broken.forEach(call -> link.setUpEnded(call, end.outcome()));
    }

    /** The releases that the server may not have read. */
    UnconfirmedReleases unconfirmedReleases() {
        return unconfirmedReleases;
    }

    @Override
    public void closed(CloseReason end) {
        link.remove(this);
        stopTimers();
        if (!link.isClosed()) {
            LOG.log(Level.INFO, "server {0} is down: {1}", link.name(), end);
            link.closed(this, end);
        }
    }
}
