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
 * Which services are watched, by the calls that come: a service is watched from its first call on, and no longer once none
 * has come for a while. What comes before the first state waits for it, within bounds. On the loop's thread.
 */
public final class OnDemandWatches {

    /** How long a call waits for the first state of its service, where its own deadline leaves so much. */
    public static final Duration MOST_WAIT = Duration.ofSeconds(2);
    /** What a call is told that has waited in vain; a watch that was refused or lost is up again by then. */
    public static final Duration COME_BACK_AFTER = Duration.ofSeconds(1);
    /** A service without calls is watched for so long: longer than the pauses of a service that is in use. */
    public static final Duration UNUSED_AFTER = Duration.ofMinutes(5);
    private static final Duration CHECK_INTERVAL = Duration.ofMinutes(1);

    /** What follows from the decisions. */
    public interface Actions {

        /** Begins to watch a service; {@link OnDemandWatches#known} follows. */
        void watch(String service);

        /**
         * Ends the watch of a service, and forgets what is known of it.
         *
         * @return false where it is needed still
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

    /** A call of a service has come: it is watched from now on. Says whether its state, or its absence, is known. */
    public boolean use(String service) {
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
     * Has a call wait for the first state of a service that is in use.
     *
     * @param maxWait what the call's deadline leaves
     * @param known run once the state is known
     * @param unknown told when to come back, where the state is not known in time
     */
    public void await(String service, Duration maxWait, Runnable known, Consumer<Duration> unknown) {
        Watch watch = watches.get(service);
        Duration wait = maxWait.compareTo(MOST_WAIT) < 0 ? maxWait : MOST_WAIT;
        if (wait.isNegative() || wait.isZero()) {
            unknown.accept(COME_BACK_AFTER);
            return;
        }
        List<Waiting> waiting = watch.waiting;
        Scheduler.Timer timeout = scheduler.after(wait, () -> {
            waiting.removeIf(one -> one.known == known);
            unknown.accept(COME_BACK_AFTER);
        });
        waiting.add(new Waiting(known, timeout));
    }

    /** The first or a later state of a service, or its absence, is in force. */
    public void known(String service) {
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

    /** Services that are watched. */
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
