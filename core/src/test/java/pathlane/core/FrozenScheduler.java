package pathlane.core;

import java.time.Duration;
import java.time.Instant;

/** A scheduler whose time never advances and whose timers never fire. */
final class FrozenScheduler implements Scheduler {

    @Override
    public Instant now() {
        return Instant.EPOCH.plusSeconds(1_000_000);
    }

    @Override
    public Duration lag() {
        return Duration.ZERO;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return () -> {};
    }
}
