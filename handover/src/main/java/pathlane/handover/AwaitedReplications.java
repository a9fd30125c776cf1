package pathlane.handover;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.core.Scheduler;

/** What waits for a call's record to reach its replica holders, each for a limited time. On the loop's thread. */
final class AwaitedReplications {

    private record Awaited(long change, Set<Long> holders, Runnable task, Scheduler.Timer timer) {}

    private final Scheduler scheduler;
    private final Map<String, Awaited> byCall = new LinkedHashMap<>();

    AwaitedReplications(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs a task once these holders have the change, or after so long. */
    void await(String callId, long change, Set<Long> holders, Duration atMost, Runnable task) {
        Scheduler.Timer timer = scheduler.after(atMost,
                () -> Optional.ofNullable(byCall.remove(callId)).ifPresent(awaited -> awaited.task.run()));
        byCall.put(callId, new Awaited(change, holders, task, timer));
    }

    /** A holder has all changes up to this one. */
    void acknowledged(long holder, long upTo) {
        for (Iterator<Awaited> each = byCall.values().iterator(); each.hasNext();) {
            Awaited awaited = each.next();
            if (awaited.change <= upTo) {
                awaited.holders.remove(holder);
            }
            if (awaited.holders.isEmpty()) {
                each.remove();
                awaited.timer.cancel();
                scheduler.after(Duration.ZERO, awaited.task);
            }
        }
    }

    /** Nothing is left of the call: what waits for it runs now. */
    void callDropped(String callId) {
        Optional.ofNullable(byCall.remove(callId)).ifPresent(AwaitedReplications::runNow);
    }

    /** Nothing is replicated any more: all that waits runs now. */
    void runAll() {
        List.copyOf(byCall.values()).forEach(AwaitedReplications::runNow);
        byCall.clear();
    }

    private static void runNow(Awaited awaited) {
        awaited.timer.cancel();
        awaited.task.run();
    }
}
