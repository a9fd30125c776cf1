package pathlane.core;

import java.util.function.Consumer;
import pathlane.config.Millis;
import pathlane.core.Counters.Name;
import pathlane.decision.RoutingPolicy;

/** Carries out what the policy of one service asks for. On the loop's thread. */
final class PolicyActions implements RoutingPolicy.Actions {

    private final ControllerContext context;
    private final AttemptManager attempts;
    private Service service;

    PolicyActions(ControllerContext context, AttemptManager attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    /** The service whose policy asks; set once, before the policy's first event. */
    void bind(Service owner) {
        service = owner;
    }

    @Override
    public void send(String callId, long serverId, double giveUpAfterMs) {
        attempts.start(service, callId, serverId, giveUpAfterMs);
    }

    @Override
    public void reject(String callId, double retryAfterMs) {
        finish(callId, Name.REJECTED, client -> client.reject(callId, Millis.toDuration(retryAfterMs)));
    }

    @Override
    public void fail(String callId) {
        finish(callId, Name.FAILED, client -> client.fail(callId));
    }

    /** The one place where the policy's final answers leave; a call that is not open has had its own. */
    private void finish(String callId, Name counted, Consumer<ClientPort> answer) {
        context.calls().findOpen(callId).ifPresent(call -> {
            context.counters().count(counted);
            CallTrace.step(callId, "final answer: {0}", counted);
            call.cancelDeadline();
            if (call.isInFlight()) {
                attempts.cancelAtServer(call);
            }
            context.complete(call);
            answer.accept(call.client());
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
        // The list is pushed here; there is nobody to ask.
    }
}
