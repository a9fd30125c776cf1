package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
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

    /** {@code services} finds a service by its name, or creates it. */
    OpenCalls(ControllerContext context, ServiceDirectory directory, Function<String, Service> services,
            AttemptManager attempts) {
        this.context = context;
        this.directory = directory;
        this.services = services;
        this.attempts = attempts;
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
        CallTrace.step(request.id(), "accepted, answer due in {0} ms, event loop lag {1} ms", remaining, scheduler.lag());
        context.calls().addOpen(call);
        // Whatever the policy decides, an open call gets its final answer at the deadline.
        call.setDeadlineTimer(scheduler.after(remaining, () -> rejectOverdue(call)));
        Duration delay = context.replication().delayBeforeFirstAttempt(request.id());
        if (delay.isZero()) {
            resolveService(call);
        } else {
            scheduler.after(delay, () -> resolveService(call));
        }
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

    /** Handles the same request from the same client over another connection; returns false if it is not the same. */
    boolean resubmit(CallRequest request, ClientPort client) {
        Optional<Call> open = context.calls().findOpen(request.id()).filter(call -> client.isSameClient(call.client())
                && Arrays.equals(call.request().payload(), request.payload()));
        open.ifPresent(call -> {
            ClientPort previous = call.client();
            context.calls().moveTo(call, client);
            previous.superseded(request.id());
        });
        return open.isPresent();
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
