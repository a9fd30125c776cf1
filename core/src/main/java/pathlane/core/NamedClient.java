package pathlane.core;

import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * A client without a connection, known by its key alone: any connection of this client reaches it, and nothing is written to
 * this port. An empty key stands for an unknown client, for which any connection may be used.
 */
public record NamedClient(String clientKey) implements ClientPort {

    @Override
    public void answer(String callId, byte[] description) {}

    @Override
    public void reject(String callId, Duration retryAfter) {}

    @Override
    public void fail(String callId) {}

    @Override
    public void release(String callId, Outcome outcome) {}

    @Override
    public boolean isSameClient(ClientPort other) {
        return clientKey.isEmpty() || other.clientKey().equals(clientKey);
    }
}
