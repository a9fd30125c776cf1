package pathlane.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one subscriber watches and holds, and which services have yet to be sent to it. Only names are queued and the
 * newest state is sent, so that memory is bounded by the size of the watch and a slow subscriber skips intermediate
 * states.
 */
final class SubscriberQueue {

    private final Map<String, HeldVersion> watched = new HashMap<>();
    /** Services with removed or draining endpoints: sent first. */
    private final Set<String> urgent = new LinkedHashSet<>();
    private final Set<String> ordinary = new LinkedHashSet<>();
    /** Watched services that are missing from the catalogue but not yet known to be absent. */
    private final Set<String> unresolved = new HashSet<>();

    boolean isWatched(String service) {
        return watched.containsKey(service);
    }

    int size() {
        return watched.size();
    }

    Set<String> services() {
        return watched.keySet();
    }

    HeldVersion held(String service) {
        return watched.get(service);
    }

    /** Adds a service to the watch, or replaces what the subscriber holds of it. Nothing is queued. */
    void watch(String service, HeldVersion held) {
        watched.put(service, held);
        dequeue(service);
    }

    void unwatch(String service) {
        watched.remove(service);
        dequeue(service);
    }

    private void dequeue(String service) {
        urgent.remove(service);
        ordinary.remove(service);
        unresolved.remove(service);
    }

    /** Queues a watched service; one that is queued already may become urgent. Returns whether it was queued already. */
    boolean add(String service, boolean isUrgent) {
        unresolved.remove(service);
        if (urgent.contains(service)) {
            return true;
        }
        if (isUrgent) {
            urgent.add(service);
            return ordinary.remove(service);
        }
        return !ordinary.add(service);
    }

    /** Whether nothing is queued. */
    boolean isEmpty() {
        return urgent.isEmpty() && ordinary.isEmpty();
    }

    /** The service to send next; the queue must not be empty. */
    String next() {
        Iterator<String> first = (urgent.isEmpty() ? ordinary : urgent).iterator();
        return first.next();
    }

    /** Removes a service from the queue; the subscriber holds this version once all messages sent have arrived. */
    void sent(String service, HeldVersion held) {
        watched.put(service, held);
        dequeue(service);
    }

    /** Postpones a service whose existence is unknown, because the catalogue may not have received it yet. */
    void postpone(String service) {
        dequeue(service);
        unresolved.add(service);
    }

    boolean hasUnresolved() {
        return !unresolved.isEmpty();
    }

    /** Queues the postponed services again. */
    void requeueUnresolved() {
        for (String service : List.copyOf(unresolved)) {
            add(service, !held(service).isNothing());
        }
    }
}
