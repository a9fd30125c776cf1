package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pathlane.core.Scheduler;

/**
 * Watches services on demand: a service is watched from its first call on, and no longer once it has had no calls for a
 * while. Calls that arrive before the first state wait for it, for a limited time. Not thread-safe: used on the event
 * loop's thread.
 */
public final class OnDemandWatches {

    /** The longest time that a call waits for the first state of its service; its own deadline may be earlier. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(2);
    /** The retry delay for a call whose wait timed out; by then a rejected or lost watch is usually established again. */
    public static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** The time without calls after which a service is no longer watched: longer than the pauses of a service in use. */
    public static final Duration UNUSED_AFTER = Duration.ofMinutes(5);
    private static final Duration CHECK_INTERVAL = Duration.ofMinutes(1);

    /** The operations that this class requests. */
    public interface Actions {

        /** Starts to watch a service; {@link OnDemandWatches#stateKnown} must be called when its state is known. */
        void watch(String service);

        /**
         * Stops watching a service and drops its state.
         *
         * @return false if the service is still needed
         */
        boolean unwatch(String service);
    }

    private static final class Watch {
        boolean isKnown;
        Instant lastUsed;
        final List<Waiting> waiting = new ArrayList<>();
    }

    private record Waiting(Runnable known, Scheduler.Timer timeout) {}

    private final Scheduler scheduler;
    private final Actions actions;
    private final Map<String, Watch> watches = new HashMap<>();
    private boolean isChecking;

    public OnDemandWatches(Scheduler scheduler, Actions actions) {
        this.scheduler = scheduler;
        this.actions = actions;
    }

    /**
     * Records a call for a service, and starts to watch it if necessary. Returns whether the service's state, or its
     * absence, is known.
     */
    public boolean recordUse(String service) {
        Watch watch = watches.get(service);
        if (watch == null) {
            watch = new Watch();
            watches.put(service, watch);
            actions.watch(service);
            scheduleCheck();
        }
        watch.lastUsed = scheduler.now();
        return watch.isKnown;
    }

    /**
     * Lets a call wait for the first state of a service in use.
     *
     * @param maxWait the time left until the call's deadline
     * @param known run when the state is known
     * @param unknown receives the retry delay if the state is not known in time
     */
    public void await(String service, Duration maxWait, Runnable known, Consumer<Duration> unknown) {
        Watch watch = watches.get(service);
        Duration wait = maxWait.compareTo(MAX_WAIT) < 0 ? maxWait : MAX_WAIT;
        if (wait.isNegative() || wait.isZero()) {
            unknown.accept(RETRY_AFTER);
            return;
        }
        List<Waiting> waiting = watch.waiting;
        Scheduler.Timer timeout = scheduler.after(wait, () -> {
            waiting.removeIf(one -> one.known == known);
            unknown.accept(RETRY_AFTER);
        });
        waiting.add(new Waiting(known, timeout));
    }

    /** Notifies that a service's state, or its absence, is known. */
    public void stateKnown(String service) {
        Watch watch = watches.get(service);
        if (watch == null || watch.isKnown) {
            return;
        }
        watch.isKnown = true;
        List<Waiting> waiting = List.copyOf(watch.waiting);
        watch.waiting.clear();
        waiting.forEach(one -> one.timeout.cancel());
        waiting.forEach(one -> one.known.run());
    }

    /** The number of watched services. */
    public int size() {
        return watches.size();
    }

    private void scheduleCheck() {
        if (!isChecking) {
            isChecking = true;
            scheduler.after(CHECK_INTERVAL, this::endUnused);
        }
    }

    private void endUnused() {
        Instant unusedBefore = scheduler.now().minus(UNUSED_AFTER);
        watches.entrySet().removeIf(one -> !one.getValue().lastUsed.isAfter(unusedBefore) && actions.unwatch(one.getKey()));
        isChecking = false;
        if (!watches.isEmpty()) {
            scheduleCheck();
        }
    }
}
