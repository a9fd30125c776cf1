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
 * Calls from their request to their final answer: which service they belong to, when the policy hears of them, and the guard
 * at their deadline. On the loop's thread.
 */
final class OpenCalls {

    /** A call that waits for its service's servers is answered so long before its deadline. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(5);

    private final ControllerContext context;
    private final ServiceDirectory directory;
    private final Function<String, Service> services;
    private final AttemptManager attempts;

    /** {@code services} finds a service by its name, or makes it. */
    OpenCalls(ControllerContext context, ServiceDirectory directory, Function<String, Service> services,
            AttemptManager attempts) {
        this.context = context;
        this.directory = directory;
        this.services = services;
        this.attempts = attempts;
    }

    /** A client asks for a call that is not known yet. */
    void submit(CallRequest request, ClientPort client) {
        context.counters().count(Name.CALL_REQUESTS);
        Optional<String> serviceName = directory.serviceOf(request);
        if (serviceName.isEmpty()) {
            context.counters().count(Name.FAILED);
            CallTrace.step(request.id(), "failed: of no known service");
            client.fail(request.id());
            return;
        }
        Scheduler scheduler = context.scheduler();
        // The client's wait runs from when it sent the request: what a stall of this process held up came earlier.
        Duration left = request.remainingDeadline().minus(scheduler.lag());
        Instant deadline = scheduler.now().plus(left);
        Call call = Call.requested(services.apply(serviceName.get()), request, deadline, client);
        CallTrace.step(request.id(), "taken, answer due in {0} ms, lag {1} ms", left, scheduler.lag());
        context.calls().addOpen(call);
        // Rule one holds whatever the policy does: at the deadline an open call is answered.
        call.awaitDeadline(scheduler.after(left, () -> answerOverdue(call)));
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
            decide(call);
        } else {
            Duration left = Duration.between(context.scheduler().now(), call.deadline()).minus(ANSWER_MARGIN);
            directory.awaitService(name, left, () -> decide(call), retryAfter -> rejectUnresolved(call, retryAfter));
        }
    }

    /** The servers of a call's service did not become known in time. */
    private void rejectUnresolved(Call call, Duration retryAfter) {
        if (context.calls().isOpen(call)) {
            context.counters().count(Name.REJECTED);
            CallTrace.step(call.id(), "rejected: the servers of {0} are not known yet", call.service().name());
            call.cancelDeadline();
            context.complete(call);
            call.client().reject(call.id(), retryAfter);
        }
    }

    private void decide(Call call) {
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

    /** The same request comes again from the same client over another connection; false where that is not so. */
    boolean resubmit(CallRequest again, ClientPort client) {
        Optional<Call> open = context.calls().findOpen(again.id()).filter(call -> client.isSameClient(call.client())
                && Arrays.equals(call.request().payload(), again.payload()));
        open.ifPresent(call -> {
            ClientPort before = call.client();
            context.calls().moveTo(call, client);
            before.superseded(again.id());
        });
        return open.isPresent();
    }

    private void answerOverdue(Call call) {
        if (context.calls().isOpen(call)) {
            context.counters().count(Name.ANSWERED_BY_GUARD);
            CallTrace.step(call.id(), "overdue by {0} ms, rejected by the guard",
                    Duration.between(call.deadline(), context.scheduler().now()));
            abandon(call);
            call.client().reject(call.id(), Duration.ZERO);
        }
    }

    /** The client no longer waits: no answer is owed, and an attempt in flight is given up. */
    void abandon(Call call) {
        CallTrace.step(call.id(), "given up by its client");
        context.counters().count(Name.GIVEN_UP_BY_CLIENT);
        call.cancelDeadline();
        context.complete(call);
        context.policyEvents().post(at -> call.service().policy().clientLeft(at, call.id()));
        if (call.isInFlight()) {
            attempts.cancelAtServer(call);
            attempts.end(call, Outcome.CANCELLED, true);
        }
    }
}
