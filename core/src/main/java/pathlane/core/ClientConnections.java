package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pathlane.decision.Outcome;

/** The connections of callers, what each has in calls, and the way back for what ends. On the loop's thread. */
final class ClientConnections {

    /** What is over is remembered for so long: what a server or caller still says of it concerns nobody. */
    private static final Duration OVER_MEMORY = Duration.ofSeconds(60);

    /** The most that is remembered of calls that are over, and of releases that found no caller. */
    private static final int MOST_REMEMBERED = 10_000;

    /** What a caller's connection has in calls. */
    static final class Held {
        int open;
        int standing;
        /** Whether a call of its ever stood. */
        boolean served;
    }

    /** A release that found no connection to its caller. */
    private record Unrelayed(ClientPort own, Outcome how, Instant at) {}

    private final Scheduler scheduler;
    private final Map<ClientPort, Held> connections = new LinkedHashMap<>();
    private final Map<String, Unrelayed> unrelayed = new LinkedHashMap<>();
    private final Map<String, Instant> over = new LinkedHashMap<>();

    ClientConnections(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A caller can be reached; what found none to go to goes there, and {@code told} hears of each. */
    void opened(ClientPort caller, Consumer<String> notified) {
        connections.put(caller, new Held());
        unrelayed.entrySet().removeIf(waiting -> {
            boolean reached = caller.isSameClient(waiting.getValue().own());
            if (reached) {
                caller.release(waiting.getKey(), waiting.getValue().how());
                notified.accept(waiting.getKey());
            }
            return reached;
        });
    }

    /** A connection has ended; returns what it had. */
    Held closed(ClientPort caller) {
        Held held = connections.remove(caller);
        return held == null ? new Held() : held;
    }

    /** What a connection has; one that has ended, or never was, counts for nothing. */
    Held held(ClientPort caller) {
        Held held = connections.get(caller);
        return held == null ? new Held() : held;
    }

    /**
     * Releases towards the call's own connection, else the latest on which calls stood, else any, else the next. False:
     * it waits for the next.
     */
    boolean relay(ClientPort own, String id, Outcome how) {
        ClientPort way = connections.containsKey(own) ? own : null;
        if (way == null) {
            List<ClientPort> reaching = connections.keySet().stream().filter(caller -> caller.isSameClient(own)).toList();
            // Guards releases against connections that were opened and never used: nobody may be listening there.
            way = reaching.stream().filter(caller -> held(caller).served).reduce((a, b) -> b)
                    .or(() -> reaching.stream().reduce((a, b) -> b)).orElse(null);
        }
        if (way != null) {
            way.release(id, how);
            return true;
        }
        Instant now = scheduler.now();
        unrelayed.put(id, new Unrelayed(own, how, now));
        forget(unrelayed.values().iterator(), waiting -> waiting.at().plus(OVER_MEMORY).isBefore(now), unrelayed.size());
        return false;
    }

    /** What was owed for a call is owed by another controller now. */
    void forget(String id) {
        unrelayed.remove(id);
    }

    /** A call is over; it is remembered for a while. */
    void over(String id) {
        Instant now = scheduler.now();
        over.put(id, now);
        forget(over.values().iterator(), at -> at.plus(OVER_MEMORY).isBefore(now), over.size());
    }

    boolean isOver(String id) {
        return over.containsKey(id);
    }

    /** Guards memory against days of any length and callers of any number: the oldest go first. */
    private static <T> void forget(Iterator<T> oldestFirst, Predicate<T> stale, int size) {
        for (int left = size; left > 0 && (stale.test(oldestFirst.next()) || left > MOST_REMEMBERED); left--) {
            oldestFirst.remove();
        }
    }

    /** How much is kept, of whatever kind. */
    int kept() {
        return connections.size() + unrelayed.size() + over.size();
    }
}
