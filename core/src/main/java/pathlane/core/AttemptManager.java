package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import pathlane.config.Millis;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy.AttemptResult;

/** The attempts of calls, from the policy's wish for one to its end, and the guards of the rules. On the loop's thread. */
final class AttemptManager {

    private final ControllerContext context;
    private final ServerTable servers;

    AttemptManager(ControllerContext context, ServerTable servers) {
        this.context = context;
        this.servers = servers;
    }

    /** Sends a request of the call to a server, given up after a while; nought for as long as the client waits. */
    void start(Service service, String callId, long serverId, double giveUpAfterMs) {
        Optional<Call> known = context.calls().find(callId);
        if (known.isEmpty()) {
            return;   // its end was reported, and waits for its turn
        }
        Call call = known.get();
        int attempt = call.countAttempt();
        Optional<Server> target = servers.find(serverId).filter(server -> mayReceive(server, service));
        if (target.isEmpty() || !mayStart(call, attempt)) {
            context.counters().count(Name.BLOCKED_BY_GUARD);
            context.policyEvents().post(at -> service.policy().attemptEnded(at,
                    new AttemptResult(callId, attempt, serverId, Outcome.NOT_SENT, false, 0, 0, null)));
            return;
        }
        send(call, attempt, target.get(), giveUpAfterMs);
    }

    /** The rules hold whatever the policy does: nothing goes to a server that drains, is gone, or is another service's. */
    private static boolean mayReceive(Server server, Service service) {
        return server.isRunning() && server.service() == service;
    }

    /** The rules hold whatever the policy does: one attempt at a time, none too soon, none too many. */
    private boolean mayStart(Call call, int attempt) {
        return !call.isEstablished() && !call.isInFlight() && !context.scheduler().now().isBefore(call.notBefore())
                && attempt < context.settings().maxAttempts();
    }

    private void send(Call call, int attempt, Server server, double giveUpAfterMs) {
        context.counters().count(Name.ATTEMPTS);
        CallTrace.step(call.id(), "sent to {0}", server.id());
        Instant now = context.scheduler().now();
        Duration left = Duration.between(now, call.deadline());
        Duration wished = giveUpAfterMs > 0 ? Millis.toDuration(giveUpAfterMs) : left;
        Duration giveUpAfter = wished.compareTo(left) < 0 ? wished : left;
        context.replication().attemptStarted(call.id(), server.id(), giveUpAfter, call.client(),
                () -> server.port().releaseToken(call.request()));
        call.attemptStarted(server, now, context.scheduler().after(giveUpAfter, () -> timedOut(call, attempt)));
        server.port().sendRequest(call.request(), giveUpAfter, call.mayHaveRun());
    }

    private void timedOut(Call call, int attempt) {
        if (call.isInFlight() && call.lastAttempt() == attempt) {
            cancelAtServer(call);
            end(call, Outcome.TIMED_OUT, false);
        }
    }

    /** The policy does not wait for this attempt any more. */
    void cancel(String callId, int attempt) {
        context.calls().findOpen(callId).filter(call -> call.isInFlight() && call.lastAttempt() == attempt)
                .ifPresent(call -> {
                    cancelAtServer(call);
                    end(call, Outcome.CANCELLED, false);
                });
    }

    /** Has the server told that nobody waits for the attempt in flight any more. */
    void cancelAtServer(Call call) {
        call.cancelTimeout();
        call.server().ifPresent(server -> server.port().cancel(call.id()));
    }

    /** The server answered the attempt in flight: the call is established there. */
    void answered(Call call, Server server, byte[] description) {
        String id = call.id();
        Instant sentAt = call.sentAt();
        context.counters().count(Name.ESTABLISHED);
        CallTrace.step(id, "established at {0} after {1} ms", server.id(),
                Duration.between(sentAt, context.scheduler().now()));
        context.calls().established(call, server);
        context.replication().callEstablished(id, server.id(), call.client());
        context.replication().deliverAnswer(id, call.request().callClass(), () -> call.client().answer(id, description));
        int attempt = call.lastAttempt();
        double elapsedMs = Millis.of(Duration.between(sentAt, context.scheduler().now()));
        context.policyEvents().post(at -> call.service().policy().callEstablished(at, id, attempt, server.id(), elapsedMs));
    }

    /** Tells the policy how the call's attempt, or the established call, ended; the call is then free for another. */
    void end(Call call, Outcome outcome, boolean isCallClosed) {
        end(call, outcome, isCallClosed, Duration.ZERO);
    }

    /** The same, with the wait that the server asks for. */
    void end(Call call, Outcome outcome, boolean isCallClosed, Duration retryAfter) {
        boolean wasEstablished = call.isEstablished();
        Optional<Call.Attempt> ended = call.detach();
        if (ended.isEmpty()) {
            return;   // an adopted call: the policy never heard of it
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
        if (!isCallClosed && !wasEstablished) {
            Duration wait = Duration.between(now, call.notBefore());
            context.replication().attemptEnded(call.id(), server.id(), wait.isNegative() ? Duration.ZERO : wait,
                    call.client());
        }
        double elapsedMs = Millis.of(Duration.between(ended.get().sentAt(), now));
        AttemptResult result =
                new AttemptResult(call.id(), call.lastAttempt(), server.id(), outcome, isCallClosed, elapsedMs,
                        Millis.of(retryAfter), null);
        context.policyEvents().post(at -> call.service().policy().attemptEnded(at, result));
    }
}
