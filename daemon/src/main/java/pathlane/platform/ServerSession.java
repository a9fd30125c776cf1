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
import pathlane.core.UnconfirmedReleases;
import pathlane.decision.Outcome;
import pathlane.transport.Connection;
import pathlane.transport.FrameDeadline;
import pathlane.transport.Protocol;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;
import pathlane.wire.ProtocolException;

/**
 * One connection to a session server: the requests outstanding on it, the messages that the server sends, and when the
 * connection is to be closed. On the loop's thread.
 */
final class ServerSession implements Protocol {

    private static final Logger LOG = System.getLogger("servers");
    private static final byte[] EMPTY = {};
    /** Longer than any connection without established calls is idle. */
    private static final Duration EVICT_LAST_OFFSET = Duration.ofDays(1);
    /** The minimum delay before the idle time is checked again on a connection that may not be closed yet. */
    private static final Duration IDLE_RECHECK = Duration.ofSeconds(1);
    /** More unflushed releases would count as data that the server does not read. */
    private static final int RELEASES_PER_FLUSH = 256;

    private final ServerLink link;
    private final ServerLinkContext context;
    private final ServerLimits limits;
    private final Scheduler scheduler;
    private final Duration idleTimeout;
    private final Duration longestDeadline;
    private final FrameAssembler assembler = Message.assembler();
    private final FrameDeadline frameDeadline;
    /** Outstanding requests on this connection by call id, in the order of sending. */
    private final Map<String, SentMessage> sentRequests = new LinkedHashMap<>();
    /** When each attempt was cancelled on this connection about which the server has sent nothing since, by call id. */
    private final Map<String, Instant> cancelledAt = new LinkedHashMap<>();
    private final UnconfirmedReleases<byte[]> unconfirmedReleases;
    private final ReportIntervals reportIntervals;
    private final OvertakenCheck overtakenCheck;
    private Connection connection;
    private Scheduler.Timer idleTimer;
    private Scheduler.Timer silenceTimer;
    /** When a message was last written or bytes were last received. */
    private Instant lastUsed;
    /** When the last complete message was received. */
    private Instant lastReceived;
    private boolean isClosing;

    /** Creates a session whose connection has yet to be opened. */
    ServerSession(ServerLink link, ServerLinkContext context) {
        this.link = link;
        this.context = context;
        this.limits = context.limits();
        this.scheduler = context.scheduler();
        this.idleTimeout = context.idleTimeout();
        this.longestDeadline = context.settings().longestDeadline();
        this.frameDeadline = new FrameDeadline(scheduler, limits.messageTimeout(), () -> close(CloseReason.UNFINISHED));
        this.unconfirmedReleases = new UnconfirmedReleases<>(limits.maxWaitingReleases());
        this.reportIntervals = new ReportIntervals(context.reportPeriod());
        this.overtakenCheck = new OvertakenCheck(context, link.outstanding(), () -> lastReceived, this::closeAsOvertaken);
    }

    /** Whether the connection has not opened yet; stays true if it could not be opened. */
    boolean isConnecting() {
        return connection == null;
    }

    boolean isOpen() {
        return connection != null && !isClosing;
    }

    boolean isClosing() {
        return isClosing;
    }

    /** Whether it is open and everything written before this turn of the loop has been sent. */
    boolean isWritable() {
        return isOpen() && !connection.isBlocked();
    }

    /** Whether it has outstanding requests. */
    boolean isBusy() {
        return !sentRequests.isEmpty();
    }

    int outstandingCount() {
        return sentRequests.size();
    }

    /** Whether the server may still answer a cancelled attempt of this call. */
    boolean hasCancelled(String callId) {
        return cancelledAt.containsKey(callId);
    }

    /**
     * Whether a call's request may be sent here: all that was written before has been sent, so that the request is not sent
     * late, after the server began to drain, and the server can't answer a cancelled attempt of the same call.
     */
    boolean mayTakeRequest(String callId) {
        return isWritable() && !overtakenCheck.isSuspected() && !hasCancelled(callId);
    }

    /** Without outstanding requests it may be evicted for a connection to another server; with established calls last. */
    @Override
    public Optional<Instant> idleSince() {
        return !isOpen() || isBusy() ? Optional.empty()
                : Optional.of(link.hasEstablishedCalls() ? lastUsed.plus(EVICT_LAST_OFFSET) : lastUsed);
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
        if (link.isClosed()) {
            opened.close(CloseReason.DELISTED);
            return;
        }
        lastUsed = scheduler.now();
        lastReceived = lastUsed;
        link.opened(this);
        idleTimer = scheduler.after(idleTimeout, this::closeIfIdle);
        silenceTimer = scheduler.after(context.silenceTimeout(), this::closeIfSilent);
        LOG.log(Level.INFO, "connected to server {0} at {1}", link.name(), opened.remote());
        link.sendPending(this);
    }

    void sendRequest(String callId, byte[] bytes) {
        sentRequests.put(callId, new SentMessage(scheduler.now(), bytes));
        link.outstanding().sent(callId, this);
        write(bytes);
    }

    /** Withdraws a request that was not sent, notifies the server of one that was, or else aborts the connection. */
    void cancel(String callId) {
        SentMessage request = sentRequests.remove(callId);
        Connection.CancelResult withdrawal = connection.cancelWrite(request.bytes());
        if (withdrawal == Connection.CancelResult.CANCELLED) {
            return;
        }
        if (withdrawal == Connection.CancelResult.COMMITTED || !isWritable()) {
            isClosing = true;
            connection.abort(CloseReason.OVERFLOW);
            return;
        }
        sendCancellation(callId);
        overtakenCheck.check(request.sentAt());
    }

    /** Notifies the server that an attempt sent here or on another connection is cancelled; drops records of old calls. */
    void sendCancellation(String callId) {
        Instant now = scheduler.now();
        cancelledAt.values().removeIf(at -> at.isBefore(now.minus(longestDeadline)));
        cancelledAt.put(callId, now);
        write(cancellation(callId));
        connection.flush();
    }

    /** Withdraws unsent requests from a draining server; aborts if others would still be sent once it reads again. */
    void withdrawRequests() {
        if (!isOpen()) {
            return;
        }
        boolean isAnyBound = false;
        for (Map.Entry<String, SentMessage> request : List.copyOf(sentRequests.entrySet())) {
            String callId = request.getKey();
            if (connection.cancelWrite(request.getValue().bytes()) == Connection.CancelResult.CANCELLED) {
                sentRequests.remove(callId);
                link.outstanding().remove(callId);
                link.serverReleased(callId, Outcome.UNREACHABLE);
            } else {
                isAnyBound = true;
            }
        }
        if (isAnyBound && connection.isBlocked()) {
            close(CloseReason.OVERFLOW);
        }
    }

    /** Releases a call; if nothing more is received before the connection ends, the release is repeated on the next one. */
    void release(String callId, byte[] bytes) {
        unconfirmedReleases.add(callId, bytes, scheduler.now());
        write(bytes);
    }

    /** Releases calls in batches. */
    void releaseAll(Map<String, byte[]> releases) {
        int written = 0;
        for (Map.Entry<String, byte[]> release : releases.entrySet()) {
            release(release.getKey(), release.getValue());
            if (++written % RELEASES_PER_FLUSH == 0) {
                connection.flush();
            }
        }
    }

    /** Closes an idle connection before the other side's idle timeout, so that no request crosses the other side's close. */
    private void closeIfIdle() {
        Duration remaining = Duration.between(scheduler.now(), lastUsed.plus(idleTimeout));
        if (remaining.compareTo(Duration.ZERO) > 0 || isBusy() || link.isDraining()) {
            idleTimer = scheduler.after(remaining.compareTo(IDLE_RECHECK) > 0 ? remaining : IDLE_RECHECK, this::closeIfIdle);
        } else {
            close(CloseReason.IDLE);
        }
    }

    /**
     * Closes a silent connection. A machine that vanishes leaves its connections open without any sign: its calls would
     * count as established for good, and requests sent to it would be lost. A new connection shows whether it still exists.
     */
    private void closeIfSilent() {
        Duration remaining = Duration.between(scheduler.now(), lastReceived.plus(context.silenceTimeout()));
        if (remaining.compareTo(Duration.ZERO) > 0) {
            silenceTimer = scheduler.after(remaining, this::closeIfSilent);
        } else if (reportIntervals.hasStarted() && !link.isDraining()) {
            close(CloseReason.SILENT);
        } else {
            silenceTimer = scheduler.after(context.silenceTimeout(), this::closeIfSilent);
        }
    }

    private void checkOvertaken() {
        if (isOpen() && isBusy()) {
            overtakenCheck.check(sentRequests.values().iterator().next().sentAt());
        }
    }

    /** Cancels, on another connection and ahead of the calls' next attempts, those not known to be answered, and closes. */
    private void closeAsOvertaken() {
        if (isOpen()) {
            link.cancelElsewhere(this, sentRequests.keySet());
            link.cancelElsewhere(this, cancelledAt.keySet().stream().filter(callId -> !link.isCallActive(callId)).toList());
            close(CloseReason.OVERTAKEN);
        }
    }

    /**
     * Closes the connection: gracefully if it is merely not needed any more, and still reading if the end of an established
     * call may arrive on it; else by an immediate abort, since the calls of its outstanding requests wait for these to end.
     */
    void close(CloseReason reason) {
        isClosing = true;
        if (!reason.isVoluntary()) {
            connection.abort(reason);
        } else if (link.hasEstablishedCalls()) {
            connection.halfClose(reason);
        } else {
            connection.close(reason);
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
            frameDeadline.bytesReceived(assembler.feed(bytes, frame -> handle(Message.read(frame))),
                    assembler.hasPartialFrame());
        } catch (ProtocolException e) {
            LOG.log(Level.WARNING, "connection to server {0} closed for invalid input: {1}", link.name(), e.getMessage());
            bytes.position(bytes.limit());
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void handle(Message message) {
        lastReceived = scheduler.now();
        unconfirmedReleases.confirmSentBefore(lastReceived.minus(limits.firstReportTimeout()));
        switch (message.type) {
            case Message.ANSWER -> handleAnswer(message.id(), message.value(Message.DESCRIPTION));
            case Message.RELEASE -> handleRelease(message.id(), message);
            case Message.RELEASE_COMPLETE -> cancelledAt.remove(message.id());   // no answer follows
            case Message.PROGRESS, Message.HEALTH_CHECK_RESULT -> {}
            case Message.CAPACITY_REPORT -> {
                reportIntervals.reported(scheduler.now());
                link.capacityReported(this, message.text(Message.CAPACITY));
            }
            default -> throw new ProtocolException("unexpected message of type " + message.type);
        }
    }

    private void handleAnswer(String callId, byte[] description) {
        if (isOfEarlierAttempt(callId)) {
            return;
        }
        if (description == null && sentRequests.containsKey(callId)) {
            handleInvalid(callId, "no description");
            return;
        }
        requestEnded(callId);
        link.answered(callId, description == null ? EMPTY : description);
    }

    private void handleRelease(String callId, Message message) {
        if (isOfEarlierAttempt(callId)) {
            return;
        }
        if (!message.hasCause() && (sentRequests.containsKey(callId) || link.isEstablished(callId))) {
            handleInvalid(callId, "no valid cause");
            return;
        }
        requestEnded(callId);
        link.serverReleased(callId, Cause.outcomeOf(message.cause(), message.text(Message.CAUSE_DETAIL)));
    }

    /**
     * Whether a message belongs to an earlier attempt, cancelled here: the current one is outstanding on another connection
     * or waits for one. Taken for the current attempt's, the message could cause a further attempt to be sent beside it.
     */
    private boolean isOfEarlierAttempt(String callId) {
        cancelledAt.remove(callId);
        return link.outstanding().sessionOf(callId)
                .map(current -> current != this)
                .orElseGet(() -> link.hasPendingRequest(callId));
    }

    /**
     * Ends one call for which a well-formed but invalid message was received; the other calls on this connection are not
     * affected. The call is released, as the server may hold a slot for it.
     */
    private void handleInvalid(String callId, String reason) {
        LOG.log(Level.WARNING, "server {0}: invalid message for call {1}: {2}", link.name(), callId, reason);
        requestEnded(callId);
        release(callId, cancellation(callId));
        link.serverReleased(callId, Outcome.RESET);
    }

    private static byte[] cancellation(String callId) {
        return new Message(Message.RELEASE, callId).withCause(Cause.NORMAL_CLEARING).bytes();
    }

    /** A request on this connection has ended, which shows how far the server has processed its requests. */
    private void requestEnded(String callId) {
        SentMessage request = sentRequests.remove(callId);
        if (request != null) {
            link.outstanding().answered(callId, request.sentAt());
            link.sessions().forEach(ServerSession::checkOvertaken);
        }
    }

    /** The server was removed from the list: outstanding requests may go to another server. */
    void abortDelisted() {
        stopTimers();
        if (connection != null) {
            connection.abort(CloseReason.DELISTED);
        }
        failRequests(CloseReason.DELISTED);
    }

    private void stopTimers() {
        frameDeadline.stop();
        overtakenCheck.stop();
        if (idleTimer != null) {
            idleTimer.cancel();
            silenceTimer.cancel();
        }
    }

    /** Ends the outstanding requests with the connection. */
    void failRequests(CloseReason reason) {
        List<String> failed = List.copyOf(sentRequests.keySet());
        sentRequests.clear();
        failed.forEach(link.outstanding()::remove);
        failed.forEach(callId -> link.serverReleased(callId, reason.outcome()));
    }

    /** The releases that the server may not have read. */
    UnconfirmedReleases<byte[]> unconfirmedReleases() {
        return unconfirmedReleases;
    }

    @Override
    public void closed(CloseReason reason) {
        link.remove(this);
        stopTimers();
        if (!link.isClosed()) {
            LOG.log(Level.INFO, "connection to server {0} closed: {1}", link.name(), reason);
            link.closed(this, reason);
        }
    }
}
