package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;
import pathlane.config.Millis;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;

/**
 * Handles calls from their request to their final answer: assigns them to a service, passes them to the policy once the
 * service's servers are known, and rejects them at the deadline if the policy has not. Runs on the event loop's thread.
 */
final class OpenCalls {

    /** How long before its deadline a call that waits for its service's servers is answered. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(5);

    private final ControllerContext context;
    private final ServiceDirectory directory;
    private final Function<String, Service> services;
    private final AttemptManager attempts;
    private final ClientFailover failover;

    /** {@code services} finds a service by its name, or creates it. */
    OpenCalls(ControllerContext context, ServiceDirectory directory, Function<String, Service> services,
            AttemptManager attempts, ClientFailover failover) {
        this.context = context;
        this.directory = directory;
        this.services = services;
        this.attempts = attempts;
        this.failover = failover;
    }

    /** Accepts a client's request for a call that is not known yet. */
    void submit(CallRequest request, ClientPort client) {
        context.counters().count(Name.CALL_REQUESTS);
        Optional<String> serviceName = directory.serviceOf(request);
        if (serviceName.isEmpty()) {
            context.counters().count(Name.FAILED);
            CallTrace.step(request.id(), "failed: belongs to no known service");
            client.fail(request.id());
            return;
        }
        Scheduler scheduler = context.scheduler();
        // The deadline counts from when the client sent the request: the time it waited for a stalled loop is deducted.
        Duration remaining = request.remainingDeadline().minus(scheduler.lag());
        Instant deadline = scheduler.now().plus(remaining);
        Call call = Call.requested(services.apply(serviceName.get()), request, deadline, client);
        Duration delay = delayBeforeFirstAttempt(call);
        CallTrace.step(request.id(), "accepted, answer due in {0} ms, event loop lag {1} ms", remaining, scheduler.lag());
        context.calls().addOpen(call);
        // Whatever the policy decides, an open call gets its final answer at the deadline.
        call.setDeadlineTimer(scheduler.after(remaining, () -> rejectOverdue(call)));
        if (delay.isZero()) {
            resolveService(call);
        } else {
            scheduler.after(delay, () -> resolveService(call));
        }
    }

    /** How long to wait for the release of an attempt of the same call that this or another controller has lost. */
    private Duration delayBeforeFirstAttempt(Call call) {
        Duration delay = context.replication().delayBeforeFirstAttempt(call.id());
        Optional<EndedCalls.EndedCall> ended = context.endedCalls().find(call.id()).filter(EndedCalls.EndedCall::mayHaveRun);
        if (ended.isEmpty()) {
            return delay;
        }
        call.attemptLost(ended.get().notBefore());
        Duration ownDelay = Duration.between(context.scheduler().now(), ended.get().notBefore());
        return ownDelay.compareTo(delay) > 0 ? ownDelay : delay;
    }

    private void resolveService(Call call) {
        if (!context.calls().isOpen(call)) {
            return;
        }
        String name = call.service().name();
        if (directory.requireService(name)) {
            requestDecision(call);
        } else {
            Duration remaining = Duration.between(context.scheduler().now(), call.deadline()).minus(ANSWER_MARGIN);
            directory.awaitService(name, remaining, () -> requestDecision(call),
                    retryAfter -> rejectUnresolved(call, retryAfter));
        }
    }

    /** Rejects a call whose service's servers did not become known in time. */
    private void rejectUnresolved(Call call, Duration retryAfter) {
        if (context.calls().isOpen(call)) {
            context.counters().count(Name.REJECTED);
            CallTrace.step(call.id(), "rejected: the servers of {0} are not known yet", call.service().name());
            call.cancelDeadlineTimer();
            context.complete(call);
            call.client().reject(call.id(), retryAfter);
        }
    }

    private void requestDecision(Call call) {
        if (!context.calls().isOpen(call)) {
            return;
        }
        CallRequest request = call.request();
        context.policyEvents().post(at -> {
            double remainingMs = Millis.of(Duration.between(context.scheduler().now(), call.deadline()));
            call.service().policy().requestArrived(at, new RoutingPolicy.Request(request.id(), request.callClass(),
                    request.destination(), remainingMs, request.preferredPool(), false));
        });
    }

    private void rejectOverdue(Call call) {
        if (context.calls().isOpen(call)) {
            context.counters().count(Name.ANSWERED_BY_GUARD);
            CallTrace.step(call.id(), "overdue by {0} ms, rejected by the deadline guard",
                    Duration.between(call.deadline(), context.scheduler().now()));
            abandon(call);
            call.client().reject(call.id(), Duration.ZERO);
        }
    }

    /** Handles the end of the connection of a call's client. */
    void clientDisconnected(Call call) {
        if (call.isInFlight() && call.client().repeatsRequests()) {
            failover.connectionLost(call);
        } else {
            abandon(call);
        }
    }

    /** Gives up a call whose client no longer waits: no answer is due, and an attempt in flight is cancelled. */
    void abandon(Call call) {
        CallTrace.step(call.id(), "given up by its client");
        context.counters().count(Name.GIVEN_UP_BY_CLIENT);
        call.cancelDeadlineTimer();
        context.complete(call);
        context.policyEvents().post(at -> call.service().policy().clientLeft(at, call.id()));
        if (call.isInFlight()) {
            attempts.cancelAtServer(call);
            attempts.end(call, Outcome.CANCELLED, true);
        }
    }
}
