package pathlane.discovery;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The latest changes of all services of a catalogue, up to a limit, so that a subscriber slightly behind receives a delta
 * instead of a snapshot. Only the ids of changed endpoints are kept: a delta is built from the current content.
 */
final class ChangeHistory {

    /**
     * Which parts of a service one change affected.
     *
     * @param from the service's revision before the change
     */
    record Step(Revision from, Set<Long> endpoints, boolean configuration) {

        /** The change's weight towards the limit: one, plus one for each changed endpoint. */
        int weight() {
            return 1 + endpoints.size();
        }
    }

    /** Which parts of a service differ between an earlier revision and the newest one. */
    record ChangedParts(Set<Long> endpoints, boolean configuration) {}

    private final int maxWeight;
    /** The steps kept per service, oldest first; each one starts at the revision at which the previous one ended. */
    private final Map<String, Deque<Step>> steps = new HashMap<>();
    /** The service of each step kept, oldest first. */
    private final Deque<String> order = new ArrayDeque<>();
    private int weight;

    /** {@code maxWeight} limits the number of changes plus the number of changed endpoints. */
    ChangeHistory(int maxWeight) {
        this.maxWeight = maxWeight;
    }

    /** Adds a change of a service; it must start at the revision at which the service's previous step ended. */
    void add(String service, Step step) {
        steps.computeIfAbsent(service, key -> new ArrayDeque<>()).add(step);
        order.add(service);
        weight += step.weight();
        while (weight > maxWeight) {
            dropOldest();
        }
    }

    /** Drops all steps of a service, because it was removed or was replaced without a known difference. */
    void forget(String service) {
        Deque<Step> forgotten = steps.remove(service);
        if (forgotten == null) {
            return;
        }
        forgotten.forEach(step -> weight -= step.weight());
        order.removeIf(service::equals);
    }

    private void dropOldest() {
        String service = order.remove();
        Deque<Step> kept = steps.get(service);
        weight -= kept.remove().weight();
        if (kept.isEmpty()) {
            steps.remove(service);
        }
    }

    /** The parts of a service changed since one of its revisions; empty if the history does not reach back that far. */
    Optional<ChangedParts> since(String service, Revision from) {
        Deque<Step> kept = steps.get(service);
        if (kept == null) {
            return Optional.empty();
        }
        Set<Long> endpoints = new TreeSet<>();
        boolean configuration = false;
        // Newest first: subscribers are usually one change behind.
        for (Iterator<Step> newestFirst = kept.descendingIterator(); newestFirst.hasNext();) {
            Step step = newestFirst.next();
            endpoints.addAll(step.endpoints());
            configuration |= step.configuration();
            if (step.from().equals(from)) {
                return Optional.of(new ChangedParts(endpoints, configuration));
            }
        }
        return Optional.empty();
    }

    /** The total weight, which the limit applies to. */
    int weight() {
        return weight;
    }
}
