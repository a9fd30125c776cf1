package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pathlane.decision.Outcome;

/** The connections of clients, how many calls each has, and the way back for calls that end. On the loop's thread. */
final class ClientConnections {

    /** A call that has ended is remembered for so long: what a server or client still says of it concerns nobody. */
    private static final Duration ENDED_MEMORY = Duration.ofSeconds(60);
    /** The most that is remembered of calls that have ended, and of releases that found no client. */
    private static final int MOST_REMEMBERED = 10_000;

    /** How many calls a client's connection has. */
    static final class Usage {
        int open;
        int established;
        /** Whether a call of its was ever established. */
        boolean hasServed;
    }

    /** A release that found no connection to its client. */
    private record PendingRelease(ClientPort client, Outcome outcome, Instant since) {}

    private final Scheduler scheduler;
    private final Map<ClientPort, Usage> connections = new LinkedHashMap<>();
    private final Map<String, PendingRelease> pendingReleases = new LinkedHashMap<>();
    private final Map<String, Instant> ended = new LinkedHashMap<>();

    ClientConnections(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A client can be reached; releases that wait for it leave, and {@code onDelivered} is told the call of each. */
    void connected(ClientPort client, Consumer<String> onDelivered) {
        connections.put(client, new Usage());
        pendingReleases.entrySet().removeIf(pending -> {
            PendingRelease release = pending.getValue();
            boolean isReached = client.isSameClient(release.client());
            if (isReached) {
                client.release(pending.getKey(), release.outcome());
                onDelivered.accept(pending.getKey());
            }
            return isReached;
        });
    }

    /** A connection has ended; returns what it had. */
    Usage disconnected(ClientPort client) {
        return Optional.ofNullable(connections.remove(client)).orElseGet(Usage::new);
    }

    /** What a connection has; one that has ended, or never was, counts for nothing. */
    Usage usage(ClientPort client) {
        Usage usage = connections.get(client);
        return usage == null ? new Usage() : usage;
    }

    /**
     * Tells a client of a call's end on the call's own connection, else on the client's latest one on which calls were
     * established, else on any of its connections.
     *
     * @return false where there is none: the release waits for the next one
     */
    boolean notifyRelease(ClientPort client, String callId, Outcome outcome) {
        Optional<ClientPort> way = wayTo(client);
        if (way.isPresent()) {
            way.get().release(callId, outcome);
            return true;
        }
        Instant now = scheduler.now();
        pendingReleases.put(callId, new PendingRelease(client, outcome, now));
        dropOld(pendingReleases.values().iterator(), release -> isOld(release.since(), now), pendingReleases.size());
        return false;
    }

    private Optional<ClientPort> wayTo(ClientPort client) {
        if (connections.containsKey(client)) {
            return Optional.of(client);
        }
        List<ClientPort> candidates = connections.keySet().stream().filter(other -> other.isSameClient(client)).toList();
        // Nobody may be listening on a connection that was opened and never used.
        return candidates.stream().filter(other -> usage(other).hasServed).reduce((first, second) -> second)
                .or(() -> candidates.stream().reduce((first, second) -> second));
    }

    /** Another controller tells the client of this call's end. */
    void dropPendingRelease(String callId) {
        pendingReleases.remove(callId);
    }

    /** A call has ended; it is remembered for a while. */
    void callEnded(String callId) {
        Instant now = scheduler.now();
        ended.put(callId, now);
        dropOld(ended.values().iterator(), at -> isOld(at, now), ended.size());
    }

    /** Whether a call has lately ended. */
    boolean isEnded(String callId) {
        return ended.containsKey(callId);
    }

    private static boolean isOld(Instant since, Instant now) {
        return since.plus(ENDED_MEMORY).isBefore(now);
    }

    /** The oldest go first, so that memory does not grow with the length of the day or the number of clients. */
    private static <T> void dropOld(Iterator<T> oldestFirst, Predicate<T> isOld, int size) {
        for (int left = size; left > 0 && (isOld.test(oldestFirst.next()) || left > MOST_REMEMBERED); left--) {
            oldestFirst.remove();
        }
    }

    /** How many entries are kept, of whatever kind. */
    int retainedEntries() {
        return connections.size() + pendingReleases.size() + ended.size();
    }
}
