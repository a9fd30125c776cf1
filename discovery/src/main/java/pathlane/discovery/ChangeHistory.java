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
 * The latest changes of all services of a catalogue, as far as a bound allows, so that a subscriber that is a little behind
 * gets a delta in place of a snapshot. Only the ids of what changed are kept: a delta is made up of the content as it is
 * now.
 */
final class ChangeHistory {

    /**
     * Which parts of a service a change touched.
     *
     * @param from the service's revision before the change
     */
    record Step(Revision from, Set<Long> endpoints, boolean configuration) {

        /** What it counts for in the bound: an id each, and the change itself. */
        int weight() {
            return 1 + endpoints.size();
        }
    }

    /** Which parts of a service differ between an earlier revision and the newest one. */
    record ChangedParts(Set<Long> endpoints, boolean configuration) {}

    private final int maxWeight;
    /** Of each service the steps that are kept, oldest first; each one begins where the one before it ends. */
    private final Map<String, Deque<Step>> steps = new HashMap<>();
    /** The service of each step that is kept, oldest first. */
    private final Deque<String> order = new ArrayDeque<>();
    private int weight;

    /** {@code most} bounds the number of changes and changed endpoints together. */
    ChangeHistory(int maxWeight) {
        this.maxWeight = maxWeight;
    }

    /** A service changed; the step must begin at the revision at which the service's last one ended. */
    void add(String service, Step step) {
        steps.computeIfAbsent(service, key -> new ArrayDeque<>()).add(step);
        order.add(service);
        weight += step.weight();
        while (weight > maxWeight) {
            dropOldest();
        }
    }

    /** Whatever came before is of no use for a service any more: it has gone, or was put in place without a difference. */
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

    /** What has changed in a service since a revision that it had; empty where the history does not reach back so far. */
    Optional<ChangedParts> since(String service, Revision from) {
        Deque<Step> kept = steps.get(service);
        if (kept == null) {
            return Optional.empty();
        }
        Set<Long> endpoints = new TreeSet<>();
        boolean configuration = false;
        // Newest first: who asks is most often one change behind.
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

    /** What the bound is held against. */
    int weight() {
        return weight;
    }
}
