package pathlane.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import pathlane.decision.Outcome;

/**
 * The connections of clients, the number of calls on each, and the notification of clients about calls that ended. Runs on
 * the event loop's thread.
 */
final class ClientConnections {

    /** The number of calls on a client's connection. */
    static final class Usage {
        int open;
        int established;
        /** Whether a call on this connection was ever established. */
        boolean hasHadEstablishedCall;
    }

    /** A release that waits for a connection to its client. */
    private record PendingRelease(ClientPort client, Outcome outcome) {}

    private final Scheduler scheduler;
    private final Map<ClientPort, Usage> connections = new LinkedHashMap<>();
    private final RetainedEntries<PendingRelease> pendingReleases = new RetainedEntries<>();

    ClientConnections(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Adds a connection and sends the releases pending for its client; {@code onDelivered} receives the call id of each. */
    void connected(ClientPort client, Consumer<String> onDelivered) {
        connections.put(client, new Usage());
        pendingReleases.removeIf((callId, release) -> {
            boolean isDelivered = client.isSameClient(release.client());
            if (isDelivered) {
                client.release(callId, release.outcome());
                onDelivered.accept(callId);
            }
            return isDelivered;
        });
    }

    /** Removes a connection that has ended and returns the number of its calls. */
    Usage disconnected(ClientPort client) {
        return Optional.ofNullable(connections.remove(client)).orElseGet(Usage::new);
    }

    /** Returns the usage of a connection; for an ended or unknown one, a new object that is not stored. */
    Usage usage(ClientPort client) {
        Usage usage = connections.get(client);
        return usage == null ? new Usage() : usage;
    }

    /**
     * Notifies a client of a call's end on the call's own connection, else on the client's latest one on which calls were
     * established, else on its latest connection.
     *
     * @return false if there is none; the release then waits for the client's next connection
     */
    boolean notifyRelease(ClientPort client, String callId, Outcome outcome) {
        Optional<ClientPort> connection = findConnection(client);
        if (connection.isPresent()) {
            connection.get().release(callId, outcome);
            return true;
        }
        pendingReleases.put(callId, new PendingRelease(client, outcome), scheduler.now());
        return false;
    }

    private Optional<ClientPort> findConnection(ClientPort client) {
        if (connections.containsKey(client)) {
            return Optional.of(client);
        }
        List<ClientPort> candidates = connections.keySet().stream().filter(other -> other.isSameClient(client)).toList();
        // The client may not read from a connection that it opened and never used.
        return candidates.stream().filter(other -> usage(other).hasHadEstablishedCall).reduce((first, second) -> second)
                .or(() -> candidates.stream().reduce((first, second) -> second));
    }

    /** Drops the pending release of a call, since another controller notifies the client of the call's end. */
    void dropPendingRelease(String callId) {
        pendingReleases.remove(callId);
    }

    /** Returns the number of entries of every kind held in memory. */
    int retainedEntries() {
        return connections.size() + pendingReleases.size();
    }
}
