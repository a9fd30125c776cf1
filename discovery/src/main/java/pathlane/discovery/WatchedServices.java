package pathlane.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.discovery.WatchMessage.Interest;

/**
 * The replicas of a watch, and up to which revision everything that it concerns is in force. What is missing or not believed
 * of one service holds that revision back, and nothing else.
 */
final class WatchedServices {

    /** What a change asks of the client. */
    enum Outcome { DONE, REQUEST_SNAPSHOT, UNUSABLE_PUBLISHER }

    private static final class Watched {
        final ServiceReplica replica;
        /** Whether the service was asked for whole, and has not come since. */
        boolean isSnapshotAwaited;
        boolean isWithheld;

        Watched(ServiceReplica replica) {
            this.replica = replica;
        }

        boolean isBehind() {
            return replica.isUnknown() || isSnapshotAwaited || isWithheld;
        }
    }

    private final Map<String, Watched> services = new HashMap<>();
    private final WatchListener listener;
    private final WatchCounters.Tally tally;
    private boolean isEverything;
    private Revision inForce = Revision.NONE;
    private long epoch = Revision.NONE.epoch();

    WatchedServices(WatchListener listener, WatchCounters.Tally tally) {
        this.listener = listener;
        this.tally = tally;
    }

    /** Adds a service; false where it is watched already. */
    boolean watch(String service) {
        return services.putIfAbsent(service, new Watched(new ServiceReplica(service))) == null;
    }

    /** Ends the watch of a service; false where it was not watched. */
    boolean unwatch(String service) {
        return !isEverything && services.remove(service) != null;
    }

    /** All services are watched from now on. */
    void watchEverything() {
        isEverything = true;
    }

    boolean isEverything() {
        return isEverything;
    }

    Optional<ServiceState> state(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(watched -> watched.replica.state());
    }

    Revision inForce() {
        return inForce;
    }

    /**
     * Whether a publisher at this revision has only content of an earlier start of the source than some that is in force.
     * Asked when it accepts the watch: later it may send services of the new start before it holds all of them.
     */
    boolean isOutdated(Revision publisherRevision) {
        return publisherRevision.epoch() < epoch;
    }

    /** What is held of each service, to be told to a publisher. */
    List<Interest> interests() {
        return services.values().stream().map(watched -> watched.replica).map(ServiceReplica::interest).toList();
    }

    /** Another publisher has been told what is held, and sends what is missing: nothing of the former's is awaited. */
    void resumed() {
        services.values().forEach(watched -> {
            watched.isSnapshotAwaited = false;
            watched.isWithheld = false;
        });
    }

    /** Services whose content was not believed, and can be asked for again since the publisher is complete by now. */
    List<String> takeWithheld() {
        List<String> names = new ArrayList<>();
        services.values().stream().filter(watched -> watched.isWithheld).forEach(watched -> {
            watched.isWithheld = false;
            watched.isSnapshotAwaited = true;
            names.add(watched.replica.service());
        });
        return names;
    }

    /** Applies a change of the current publisher. */
    Outcome apply(ServiceChange change, boolean isPublisherComplete) {
        count(change);
        Optional<Watched> target = findTarget(change.service());
        if (target.isEmpty()) {
            return Outcome.DONE;
        }
        Watched watched = target.get();
        ServiceReplica.Result result = watched.replica.apply(change, isPublisherComplete);
        if (result instanceof ServiceReplica.Applied) {
            applied(watched, change);
        } else if (result instanceof ServiceReplica.NeedsSnapshot) {
            return handleGap(watched, change, isPublisherComplete);
        } else if (result instanceof ServiceReplica.Withheld) {
            tally.withheld++;
            watched.isWithheld = true;
        } else if (!(change instanceof ServiceChange.Delta)) {
            watched.isSnapshotAwaited = false;   // the publisher is not ahead of what is in force
        }
        return Outcome.DONE;
    }

    private void count(ServiceChange change) {
        if (change instanceof ServiceChange.Snapshot) {
            tally.snapshots++;
        } else if (change instanceof ServiceChange.Delta) {
            tally.deltas++;
        }
    }

    /** A service that comes up while everything is watched did not exist at the revision in force. */
    private Optional<Watched> findTarget(String service) {
        if (isEverything) {
            return Optional.of(services.computeIfAbsent(service, name -> new Watched(new ServiceReplica(name, inForce))));
        }
        return Optional.ofNullable(services.get(service));
    }

    private void applied(Watched watched, ServiceChange change) {
        watched.isSnapshotAwaited = false;
        watched.isWithheld = false;
        epoch = Math.max(epoch, change.revision().epoch());
        watched.replica.state().ifPresentOrElse(state -> listener.changed(state, change),
                () -> listener.absent(change.service(), change.revision()));
    }

    private Outcome handleGap(Watched watched, ServiceChange change, boolean isPublisherComplete) {
        tally.gaps++;
        if (change instanceof ServiceChange.Snapshot) {
            return Outcome.UNUSABLE_PUBLISHER;   // asking again would bring the same
        }
        if (watched.isSnapshotAwaited || watched.isWithheld && !isPublisherComplete) {
            return Outcome.DONE;
        }
        watched.isSnapshotAwaited = true;
        return Outcome.REQUEST_SNAPSHOT;
    }

    /** Everything up to this revision was sent by a complete publisher. */
    void bookmark(Revision revision) {
        if (!revision.isAfter(inForce) || services.values().stream().anyMatch(Watched::isBehind)) {
            return;
        }
        inForce = revision;
        epoch = Math.max(epoch, revision.epoch());
        if (isEverything) {
            // What is absent at the revision in force needs no replica of its own any more.
            services.values().removeIf(watched -> watched.replica.state().isEmpty()
                    && !watched.replica.revision().isAfter(revision));
        }
        listener.inForce(revision);
    }
}
