package pathlane.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one subscriber watches and holds, and which services it has yet to be sent. Only names wait: what is sent is the
 * newest state at that moment, so that the memory is bounded by the watch and a slow subscriber skips what is past.
 */
final class SubscriberQueue {

    private final Map<String, HeldVersion> watched = new HashMap<>();
    /** Services of which endpoints are gone or drain: sent first. */
    private final Set<String> urgent = new LinkedHashSet<>();
    private final Set<String> ordinary = new LinkedHashSet<>();
    /** Watched services that the catalogue lacks, not known to be absent yet. */
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

    /** Watches a service from now on, or anew, as held by the subscriber. Nothing is queued. */
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

    /** Queues a watched service; one that waits already may become urgent. Returns whether it waited already. */
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

    /** Whether nothing waits to be sent. */
    boolean isEmpty() {
        return urgent.isEmpty() && ordinary.isEmpty();
    }

    /** The service to be sent next; there must be one. */
    String next() {
        Iterator<String> first = (urgent.isEmpty() ? ordinary : urgent).iterator();
        return first.next();
    }

    /** A service needs no more sending: the subscriber holds this, once all that was sent has arrived. */
    void sent(String service, HeldVersion held) {
        watched.put(service, held);
        dequeue(service);
    }

    /** A service can't be told of yet, as the catalogue may not have heard of it. */
    void postpone(String service) {
        dequeue(service);
        unresolved.add(service);
    }

    boolean hasUnresolved() {
        return !unresolved.isEmpty();
    }

    /** Queues again what could not be told of. */
    void requeueUnresolved() {
        for (String service : List.copyOf(unresolved)) {
            add(service, !held(service).isNothing());
        }
    }
}
