package pathlane.core;

import java.util.function.Consumer;
import pathlane.config.Millis;
import pathlane.core.Counters.Name;
import pathlane.decision.RoutingPolicy;

/** Carries out the actions of one service's policy. Runs on the event loop's thread. */
final class PolicyActions implements RoutingPolicy.Actions {

    private final ControllerContext context;
    private final AttemptManager attempts;
    private Service service;

    PolicyActions(ControllerContext context, AttemptManager attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    /** Sets the service whose policy's actions these are; called once, before the policy's first event. */
    void bind(Service owner) {
        service = owner;
    }

    @Override
    public void send(String callId, long serverId, double timeoutMs) {
        attempts.start(service, callId, serverId, timeoutMs);
    }

    @Override
    public void reject(String callId, double retryAfterMs) {
        finish(callId, Name.REJECTED, client -> client.reject(callId, Millis.toDuration(retryAfterMs)));
    }

    @Override
    public void fail(String callId) {
        finish(callId, Name.FAILED, client -> client.fail(callId));
    }

    /** Sends a final answer of the policy; does nothing if the call is not open, since it has had its answer. */
    private void finish(String callId, Name counter, Consumer<ClientPort> answer) {
        context.calls().findOpen(callId).ifPresent(call -> {
            context.counters().count(counter);
            CallTrace.step(callId, "final answer: {0}", counter);
            call.cancelDeadlineTimer();
            if (call.isInFlight()) {
                attempts.cancelAtServer(call);
            }
            context.complete(call);
            context.portGuard().run(callId, () -> answer.accept(call.client()));
        });
    }

    @Override
    public void cancel(String callId, int attempt) {
        attempts.cancel(callId, attempt);
    }

    @Override
    public void scheduleTimer(double delayMs) {
        context.policyEvents().schedule(delayMs, service.policy()::timerFired);
    }

    @Override
    public void requestServerList() {
        // The server list is pushed to this controller and can't be requested.
    }
}
