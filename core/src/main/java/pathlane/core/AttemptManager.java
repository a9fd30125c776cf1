package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import pathlane.config.Millis;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy.AttemptResult;

/**
 * Carries out the attempts of calls, from the policy's decision to send one until the attempt ends, and enforces the limits
 * that hold whatever the policy decides. Runs on the event loop's thread.
 */
final class AttemptManager {

    private final ControllerContext context;
    private final ServerTable servers;

    AttemptManager(ControllerContext context, ServerTable servers) {
        this.context = context;
        this.servers = servers;
    }

    /** Sends the call's request to a server, with a timeout; zero means the call's remaining deadline. */
    void start(Service service, String callId, long serverId, double timeoutMs) {
        Optional<Call> found = context.calls().find(callId);
        if (found.isEmpty()) {
            return;   // the call has ended; that event is still queued for the policy
        }
        Call call = found.get();
        int attempt = call.countAttempt();
        Optional<Server> target = servers.find(serverId).filter(server -> mayReceive(server, service));
        if (target.isEmpty() || !mayStart(call, attempt)) {
            context.counters().count(Name.BLOCKED_BY_GUARD);
            context.policyEvents().post(at -> service.policy().attemptEnded(at,
                    new AttemptResult(callId, attempt, serverId, Outcome.NOT_SENT, false, 0, 0, null)));
            return;
        }
        send(call, attempt, target.get(), timeoutMs);
    }

    /** Whatever the policy decides, no request goes to a server that is draining, gone or owned by another service. */
    private static boolean mayReceive(Server server, Service service) {
        return server.isRunning() && server.service() == service;
    }

    /** Whatever the policy decides, a call has one attempt at a time, none before its retry delay, and a limited number. */
    private boolean mayStart(Call call, int attempt) {
        return !call.isEstablished() && !call.isInFlight() && !context.scheduler().now().isBefore(call.notBefore())
                && attempt < context.settings().maxAttempts();
    }

    private void send(Call call, int attempt, Server server, double timeoutMs) {
        context.counters().count(Name.ATTEMPTS);
        CallTrace.step(call.id(), "sent to {0}", server.id());
        Instant now = context.scheduler().now();
        Duration remaining = Duration.between(now, call.deadline());
        Duration requestedTimeout = timeoutMs > 0 ? Millis.toDuration(timeoutMs) : remaining;
        Duration timeout = requestedTimeout.compareTo(remaining) < 0 ? requestedTimeout : remaining;
        context.replication().attemptStarted(call.id(), server.id(), timeout, call.client(),
                () -> server.port().releaseToken(call.request()));
        call.attemptStarted(server, now, context.scheduler().after(timeout, () -> timedOut(call, attempt)));
        boolean isSent = context.portGuard().run(call.id(),
                () -> server.port().sendRequest(call.request(), timeout, call.mayHaveRun()));
        if (!isSent) {
            failUnsendable(call);
        }
    }

    /** Fails a call whose request can't be sent because of a defect; it would fail the same way at any other server. */
    private void failUnsendable(Call call) {
        cancelAtServer(call);
        context.counters().count(Name.FAILED);
        call.cancelDeadlineTimer();
        context.complete(call);
        end(call, Outcome.CANCELLED, true);
        context.portGuard().run(call.id(), () -> call.client().fail(call.id()));
    }

    private void timedOut(Call call, int attempt) {
        if (call.isInFlight() && call.lastAttempt() == attempt) {
            cancelAtServer(call);
            end(call, Outcome.TIMED_OUT, false);
        }
    }

    /** Cancels an attempt for the policy; does nothing if the attempt is no longer in flight. */
    void cancel(String callId, int attempt) {
        context.calls().findOpen(callId).filter(call -> call.isInFlight() && call.lastAttempt() == attempt)
                .ifPresent(call -> {
                    cancelAtServer(call);
                    end(call, Outcome.CANCELLED, false);
                });
    }

    /** Notifies the server that the attempt in flight is cancelled. */
    void cancelAtServer(Call call) {
        call.cancelAttemptTimeout();
        call.server().ifPresent(server -> server.port().cancel(call.id()));
    }

    /** Handles the server's answer to the attempt in flight: the call is established there. */
    void answered(Call call, Server server, byte[] description) {
        String id = call.id();
        Instant now = context.scheduler().now();
        Duration elapsed = Duration.between(call.sentAt(), now);
        context.counters().count(Name.ESTABLISHED);
        CallTrace.step(id, "established at {0} after {1} ms", server.id(), elapsed);
        context.calls().established(call, server, now);
        context.replication().callEstablished(id, server.id(), call.client());
        context.replication().deliverAnswer(id, call.request().callClass(), () -> deliverAnswer(call, description));
        int attempt = call.lastAttempt();
        double elapsedMs = Millis.of(elapsed);
        context.policyEvents().post(at -> call.service().policy().callEstablished(at, id, attempt, server.id(), elapsedMs));
    }

    /**
     * Sends the answer to the client. It is held until the deadline for a client that repeats its unanswered requests:
     * whether the client has read it when its connection ends can't be known.
     */
    private void deliverAnswer(Call call, byte[] description) {
        if (call.client().repeatsRequests() || !call.isClientConnected()) {
            call.holdAnswer(description);
            Duration remaining = Duration.between(context.scheduler().now(), call.deadline());
            context.scheduler().after(remaining.isNegative() ? Duration.ZERO : remaining, call::dropHeldAnswer);
        }
        context.portGuard().run(call.id(), () -> call.client().answer(call.id(), description));
    }

    /** Notifies the policy how the attempt, or the established call, ended; the call may then start another attempt. */
    void end(Call call, Outcome outcome, boolean isCallClosed) {
        end(call, outcome, isCallClosed, Duration.ZERO);
    }

    /** Like {@link #end(Call, Outcome, boolean)}, with the retry-after that the server requested. */
    void end(Call call, Outcome outcome, boolean isCallClosed, Duration retryAfter) {
        boolean wasEstablished = call.isEstablished();
        Optional<Call.Attempt> ended = call.detachFromServer();
        if (ended.isEmpty()) {
            return;   // an adopted call: the policy does not know it
        }
        Server server = ended.get().server();
        Instant now = context.scheduler().now();
        CallTrace.step(call.id(), "attempt at {0} ended: {1}", server.id(), outcome);
        if (!wasEstablished) {
            context.counters().count(Name.ofAttempt(outcome));
        }
        if (outcome.isLost()) {
            call.attemptLost(now.plus(context.retryDelay()));
        }
        boolean isClosed = isCallClosed || !wasEstablished && abandonIfDisconnected(call);
        if (!isClosed && !wasEstablished) {
            Duration wait = Duration.between(now, call.notBefore());
            context.replication().attemptEnded(call.id(), server.id(), wait.isNegative() ? Duration.ZERO : wait,
                    call.client());
        }
        double elapsedMs = Millis.of(Duration.between(ended.get().sentAt(), now));
        AttemptResult result =
                new AttemptResult(call.id(), call.lastAttempt(), server.id(), outcome, isClosed, elapsedMs,
                        Millis.of(retryAfter), null);
        context.policyEvents().post(at -> call.service().policy().attemptEnded(at, result));
    }

    /** Gives up a call whose client's connection is lost, as no attempt may begin for it; returns whether it did. */
    private boolean abandonIfDisconnected(Call call) {
        if (call.isClientConnected()) {
            return false;
        }
        context.counters().count(Name.GIVEN_UP_BY_CLIENT);
        call.cancelDeadlineTimer();
        context.complete(call);
        return true;
    }
}
