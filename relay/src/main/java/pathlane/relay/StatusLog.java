package pathlane.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.stream.Collectors;
import pathlane.core.Scheduler;
import pathlane.discovery.ProgressReport;
import pathlane.discovery.PublisherCounters;

/** Logs the program's state once a second if it has changed. Runs on the event loop's thread. */
final class StatusLog {

    private static final Logger LOG = System.getLogger("relay");
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Role role;
    private final Scheduler scheduler;
    private String lastState = "";
    private Optional<Instant> staleSince = Optional.empty();

    StatusLog(Role role, Scheduler scheduler) {
        this.role = role;
        this.scheduler = scheduler;
    }

    void start() {
        String state = state();
        if (!state.equals(lastState)) {
            lastState = state;
            LOG.log(Level.INFO, "state: {0} {1}", state, volume());
        }
        scheduler.after(CHECK_INTERVAL, this::start);
    }

    /** Returns the complete status line, as logged at shutdown. */
    String line() {
        return state() + " " + volume();
    }

    private String state() {
        PublisherCounters counters = role.publisher().counters();
        ProgressReport progress = role.publisher().progress();
        return "revision=" + role.catalogue().revision() + " complete=" + role.catalogue().isComplete() + " stale_since="
                + staleSince().map(Instant::toString).orElse("-") + " services="
                + role.catalogue().services().size() + " subscribers=" + counters.subscribers() + " refused="
                + counters.refused() + " snapshots=" + counters.snapshotsSent() + " deltas=" + counters.deltasSent()
                + " coalesced=" + counters.coalesced() + " unresponsive=" + counters.unresponsive() + " in_force="
                + levels(progress) + " slowest=" + slowest(progress) + " " + role.details();
    }

    /** When the publisher became stale; remembered so that the state does not change each second while it is stale. */
    private Optional<Instant> staleSince() {
        Duration staleFor = role.publisher().status().staleFor();
        if (staleFor.isZero()) {
            staleSince = Optional.empty();
        } else if (staleSince.isEmpty()) {
            staleSince = Optional.of(scheduler.now().minus(staleFor).truncatedTo(ChronoUnit.SECONDS));
        }
        return staleSince;
    }

    /** Counters that grow each second through bookmarks alone; their change does not trigger a log line. */
    private String volume() {
        PublisherCounters counters = role.publisher().counters();
        return "messages=" + counters.messagesSent() + " bytes=" + counters.bytesSent() + " bookmarks="
                + counters.bookmarksSent();
    }

    private static String levels(ProgressReport progress) {
        return progress.levels().isEmpty() ? "-" : progress.levels().stream()
                .map(level -> level.inForce() + ":" + level.controllers()).collect(Collectors.joining(","));
    }

    private static String slowest(ProgressReport progress) {
        return progress.slowest().isEmpty() ? "-" : progress.slowest().stream()
                .map(slow -> slow.name() + "@" + slow.inForce()).collect(Collectors.joining(","));
    }
}
