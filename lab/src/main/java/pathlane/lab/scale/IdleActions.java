package pathlane.lab.scale;

import pathlane.config.Millis;
import pathlane.core.Scheduler;
import pathlane.decision.RoutingPolicy;

/** What a decision module asks for where there are no calls: timers alone. */
final class IdleActions implements RoutingPolicy.Actions {

    private final Scheduler scheduler;
    private final Runnable woken;

    /** {@code woken} is run when a time that was asked for has come. */
    IdleActions(Scheduler scheduler, Runnable woken) {
        this.scheduler = scheduler;
        this.woken = woken;
    }

    @Override
    public void scheduleTimer(double delayMs) {
        scheduler.after(Millis.toDuration(delayMs), woken);
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {}

    @Override
    public void reject(String call, double adviseMs) {}

    @Override
    public void fail(String call) {}

    @Override
    public void cancel(String call, int attempt) {}

    @Override
    public void requestServerList() {}
}
