package pathlane.diameter;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import pathlane.core.Scheduler;
import pathlane.core.UnconfirmedReleases;

/**
 * The termination requests for one server peer that wait for a connection or for their answer. An unanswered one may be lost
 * with its connection: it is repeated on the next one, so that no session stays established. On the loop's thread.
 */
final class PendingTerminations {

    private static final int MAX_ENTRIES = 10_000;
    /** A request that a living connection leaves unanswered for this long is not repeated. */
    private static final Duration MAX_ANSWER_WAIT = Duration.ofSeconds(60);

    private final Scheduler scheduler;
    private final ToIntFunction<DiameterMessage> sender;
    private final Map<String, DiameterMessage> waiting = new LinkedHashMap<>();
    /** Calls of unanswered termination requests by hop-by-hop id. */
    private final Map<Integer, String> unanswered = new HashMap<>();
    private final UnconfirmedReleases<DiameterMessage> unconfirmed = new UnconfirmedReleases<>(MAX_ENTRIES);

    /** {@code sender} sends a request on the open connection and returns its hop-by-hop id. */
    PendingTerminations(Scheduler scheduler, ToIntFunction<DiameterMessage> sender) {
        this.scheduler = scheduler;
        this.sender = sender;
    }

    /** Sends a termination request on the open connection. */
    void send(String call, DiameterMessage termination) {
        int id = sender.applyAsInt(termination);
        unanswered.put(id, call);
        unconfirmed.add(call, termination, scheduler.now());
        scheduler.after(MAX_ANSWER_WAIT, () -> answered(id));
    }

    /** Keeps a termination request for the next connection; beyond a limit it is dropped. */
    void await(String call, DiameterMessage termination) {
        if (waiting.size() < MAX_ENTRIES) {
            waiting.put(call, termination);
        }
    }

    /** A connection has opened: sends what waits for it, and returns the calls of these requests. */
    List<String> connected() {
        List<String> sent = List.copyOf(waiting.keySet());
        waiting.forEach(this::send);
        waiting.clear();
        return sent;
    }

    /** The connection has ended: unanswered requests wait for the next one, with the T flag (RFC 6733, section 5.5.4). */
    void disconnected() {
        unconfirmed.forEach((call, termination) -> await(call,
                termination.withHop(0, termination.flags() | DiameterMessage.RETRANSMITTED, termination.avps())));
        unconfirmed.clear();
        unanswered.clear();
    }

    /** The server has answered the request with this hop-by-hop id, if that is a termination request. */
    void answered(int hopByHop) {
        Optional.ofNullable(unanswered.remove(hopByHop)).ifPresent(unconfirmed::confirm);
    }

    /** Returns the termination request of a call that waits for a connection. */
    Optional<DiameterMessage> waitingFor(String call) {
        return Optional.ofNullable(waiting.get(call));
    }

    boolean isAnyWaiting() {
        return !waiting.isEmpty();
    }

    /** Drops what waits for a connection, as the server has lost its sessions, and returns the calls of these requests. */
    List<String> drop() {
        List<String> dropped = List.copyOf(waiting.keySet());
        waiting.clear();
        return dropped;
    }
}
