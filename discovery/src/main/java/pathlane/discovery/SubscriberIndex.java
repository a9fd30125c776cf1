package pathlane.discovery;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Maps each service to the sessions that watch it, so that a change is processed for those sessions only. */
final class SubscriberIndex {

    private final Map<String, Set<SubscriberSession>> byService = new HashMap<>();
    private final Set<SubscriberSession> everything = new LinkedHashSet<>();

    void add(String service, SubscriberSession session) {
        byService.computeIfAbsent(service, key -> new LinkedHashSet<>()).add(session);
    }

    void remove(String service, SubscriberSession session) {
        Set<SubscriberSession> sessions = byService.get(service);
        if (sessions != null && sessions.remove(session) && sessions.isEmpty()) {
            byService.remove(service);
        }
    }

    /** Adds a session that watches the complete catalogue; it must not be indexed by service as well. */
    void addEverything(SubscriberSession session) {
        everything.add(session);
    }

    void removeEverything(SubscriberSession session) {
        everything.remove(session);
    }

    /** Applies an action to each session that watches a service. */
    void forEach(String service, Consumer<SubscriberSession> action) {
        everything.forEach(action);
        Set<SubscriberSession> sessions = byService.get(service);
        if (sessions != null) {
            sessions.forEach(action);
        }
    }
}
