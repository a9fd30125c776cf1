package pathlane.handover;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.core.Scheduler;

/**
 * Tasks that wait for a call's record to reach its replica holders, each with a timeout. Confined to the event loop thread.
 */
final class AwaitedReplications {

    private record Awaited(long change, Set<Long> holders, Runnable task, Scheduler.Timer timer) {}

    private final Scheduler scheduler;
    private final Map<String, Awaited> byCall = new LinkedHashMap<>();

    AwaitedReplications(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs a task once these replica holders have the change, or after the timeout. */
    void await(String callId, long change, Set<Long> holders, Duration timeout, Runnable task) {
        Scheduler.Timer timer = scheduler.after(timeout,
                () -> Optional.ofNullable(byCall.remove(callId)).ifPresent(awaited -> awaited.task.run()));
        byCall.put(callId, new Awaited(change, holders, task, timer));
    }

    /** A replica holder has all changes up to this one. */
    void acknowledged(long holder, long upTo) {
        for (Iterator<Awaited> iterator = byCall.values().iterator(); iterator.hasNext();) {
            Awaited awaited = iterator.next();
            if (awaited.change <= upTo) {
                awaited.holders.remove(holder);
            }
            if (awaited.holders.isEmpty()) {
                iterator.remove();
                awaited.timer.cancel();
                scheduler.after(Duration.ZERO, awaited.task);
            }
        }
    }

    /** The call's record was dropped: the task that waits for it runs now. */
    void callDropped(String callId) {
        Optional.ofNullable(byCall.remove(callId)).ifPresent(AwaitedReplications::runNow);
    }

    /** Replication has ended: all waiting tasks run now. */
    void runAll() {
        List.copyOf(byCall.values()).forEach(AwaitedReplications::runNow);
        byCall.clear();
    }

    private static void runNow(Awaited awaited) {
        awaited.timer.cancel();
        awaited.task.run();
    }
}
