package pathlane.core;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Keeps calls for clients that send their unanswered requests again over another connection when one is lost (RFC 6733,
 * section 5.5.4). An attempt in flight can't be taken back, so a further one for the same request would be outstanding
 * beside it: the repeated request takes over the call and its attempt. The call ends if the attempt fails, or if the client
 * does not repeat the request before the deadline. A repeated request whose call is established gets the same answer again,
 * since the client can't have read it. Runs on the event loop's thread.
 */
final class ClientFailover {

    private static final byte[] NO_CONTENT = {};

    private final ControllerContext context;
    private final EstablishedCalls established;

    ClientFailover(ControllerContext context, EstablishedCalls established) {
        this.context = context;
        this.established = established;
    }

    /** Keeps a call, in flight or with an unsent answer, for its client, whose connection has ended. */
    void connectionLost(Call call) {
        CallTrace.step(call.id(), "its client's connection is lost, the attempt goes on");
        NamedClient disconnected = new NamedClient(call.client().clientKey());
        context.calls().moveTo(call, disconnected);
        call.clientDisconnected();
        Duration remaining = Duration.between(context.scheduler().now(), call.deadline());
        context.scheduler().after(remaining.isNegative() ? Duration.ZERO : remaining,
                () -> releaseUnclaimed(call, disconnected));
    }

    /** Releases a call that was established for a client that has not repeated its request by the deadline. */
    private void releaseUnclaimed(Call call, NamedClient disconnected) {
        boolean isUnclaimed = call.isEstablished() && call.client() == disconnected;
        if (isUnclaimed && context.calls().find(call.id()).filter(known -> known == call).isPresent()) {
            CallTrace.step(call.id(), "released, since its client has not come back");
            established.release(call, NO_CONTENT);
        }
    }

    /** Handles the same request from the same client over another connection; returns false if it is not the same. */
    boolean resubmit(CallRequest request, ClientPort client) {
        Optional<Call> known = context.calls().find(request.id()).filter(ClientFailover::awaitsAnswer)
                .filter(call -> client.isSameClient(call.client()))
                .filter(call -> Arrays.equals(call.request().payload(), request.payload()));
        known.ifPresent(call -> takeOver(call, client));
        return known.isPresent();
    }

    private static boolean awaitsAnswer(Call call) {
        return !call.isEstablished() || !call.isClientConnected() || call.heldAnswer().isPresent();
    }

    private void takeOver(Call call, ClientPort client) {
        ClientPort previous = call.client();
        CallTrace.step(call.id(), "requested again by its client over another connection");
        context.calls().moveTo(call, client);
        if (previous != client) {
            previous.superseded(call.id());
        }
        call.heldAnswer().ifPresent(answer -> client.answer(call.id(), answer));
    }
}
