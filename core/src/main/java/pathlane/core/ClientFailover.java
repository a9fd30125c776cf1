package pathlane.core;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import pathlane.decision.Outcome;

/**
 * Keeps a call whose client lost its connection while an attempt was in flight, for clients that then send their unanswered
 * requests again over another connection (RFC 6733, section 5.5.4). The attempt can't be taken back, so a further one for
 * the same request would be outstanding beside it: the repeated request takes over the call and its attempt. The call ends
 * if the attempt fails, or if the client does not repeat the request before the deadline. Runs on the event loop's thread.
 */
final class ClientFailover {

    private static final byte[] NO_CONTENT = {};

    /** Stands for the client until it repeats its request: holds the answer and drops everything else. */
    static final class DisconnectedClient implements ClientPort {

        private final String clientKey;
        private Optional<byte[]> heldAnswer = Optional.empty();

        private DisconnectedClient(ClientPort lost) {
            clientKey = lost.clientKey();
        }

        @Override
        public void answer(String callId, byte[] description) {
            heldAnswer = Optional.of(description);
        }

        @Override
        public void reject(String callId, Duration retryAfter) {}

        @Override
        public void fail(String callId) {}

        @Override
        public void release(String callId, Outcome outcome) {}

        @Override
        public String clientKey() {
            return clientKey;
        }

        @Override
        public boolean isSameClient(ClientPort other) {
            return other.clientKey().equals(clientKey);
        }
    }

    private final ControllerContext context;
    private final EstablishedCalls established;

    ClientFailover(ControllerContext context, EstablishedCalls established) {
        this.context = context;
        this.established = established;
    }

    /** Keeps a call with an attempt in flight for its client, whose connection has ended. */
    void connectionLost(Call call) {
        CallTrace.step(call.id(), "its client's connection is lost, the attempt goes on");
        DisconnectedClient disconnected = new DisconnectedClient(call.client());
        context.calls().moveTo(call, disconnected);
        Duration remaining = Duration.between(context.scheduler().now(), call.deadline());
        context.scheduler().after(remaining.isNegative() ? Duration.ZERO : remaining,
                () -> releaseUnclaimed(call, disconnected));
    }

    /** Releases a call that was established for a client that has not repeated its request by the deadline. */
    private void releaseUnclaimed(Call call, DisconnectedClient disconnected) {
        boolean isUnclaimed = call.isEstablished() && call.client() == disconnected;
        if (isUnclaimed && context.calls().find(call.id()).filter(known -> known == call).isPresent()) {
            CallTrace.step(call.id(), "released, since its client has not come back");
            established.release(call, NO_CONTENT);
        }
    }

    /** Handles the same request from the same client over another connection; returns false if it is not the same. */
    boolean resubmit(CallRequest request, ClientPort client) {
        Optional<Call> known = context.calls().find(request.id())
                .filter(call -> !call.isEstablished() || !call.isClientConnected())
                .filter(call -> client.isSameClient(call.client()))
                .filter(call -> Arrays.equals(call.request().payload(), request.payload()));
        known.ifPresent(call -> takeOver(call, client));
        return known.isPresent();
    }

    private void takeOver(Call call, ClientPort client) {
        ClientPort previous = call.client();
        CallTrace.step(call.id(), "requested again by its client over another connection");
        context.calls().moveTo(call, client);
        previous.superseded(call.id());
        if (previous instanceof DisconnectedClient disconnected) {
            disconnected.heldAnswer.ifPresent(description -> client.answer(call.id(), description));
        }
    }
}
