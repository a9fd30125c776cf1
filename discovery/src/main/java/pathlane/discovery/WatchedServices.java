package pathlane.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.discovery.WatchMessage.Interest;

/**
 * The replicas of the watched services, and the revision up to which all changes of the watch are applied. A service whose
 * content is missing or withheld holds back that revision, but does not affect other services.
 */
final class WatchedServices {

    /** The action that the client must take after a change. */
    enum Outcome { DONE, REQUEST_SNAPSHOT, UNUSABLE_PUBLISHER }

    private static final class Watched {
        final ServiceReplica replica;
        /** Whether a snapshot was requested and has not arrived yet. */
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

    /** Adds a service; false if it is watched already. */
    boolean watch(String service) {
        return services.putIfAbsent(service, new Watched(new ServiceReplica(service))) == null;
    }

    /** Removes a service from the watch; false if it was not watched. */
    boolean unwatch(String service) {
        return !isEverything && services.remove(service) != null;
    }

    /** Watches all services from now on. */
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
     * Whether a publisher at this revision holds only content of an earlier epoch than some content applied here. Checked
     * when the publisher accepts the watch: later it may send services of the new epoch before it has all of them.
     */
    boolean isOutdated(Revision publisherRevision) {
        return publisherRevision.epoch() < epoch;
    }

    /** The versions held of all services, to be sent to a publisher. */
    List<Interest> interests() {
        return services.values().stream().map(watched -> watched.replica).map(ServiceReplica::interest).toList();
    }

    /** Resets pending requests: another publisher has received the versions held and sends what is missing. */
    void resumed() {
        services.values().forEach(watched -> {
            watched.isSnapshotAwaited = false;
            watched.isWithheld = false;
        });
    }

    /** Marks the services whose changes were withheld as requested, and returns them: the publisher is complete now. */
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
            watched.isSnapshotAwaited = false;   // the publisher has nothing newer than the state applied
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

    /**
     * Finds the replica to apply a change to. While everything is watched, an unknown service did not exist at the
     * revision applied.
     */
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
            return Outcome.UNUSABLE_PUBLISHER;   // another request would return the same snapshot
        }
        if (watched.isSnapshotAwaited || watched.isWithheld && !isPublisherComplete) {
            return Outcome.DONE;
        }
        watched.isSnapshotAwaited = true;
        return Outcome.REQUEST_SNAPSHOT;
    }

    /** Handles a bookmark of a complete publisher: all changes up to this revision were sent. */
    void bookmark(Revision revision) {
        if (!revision.isAfter(inForce) || services.values().stream().anyMatch(Watched::isBehind)) {
            return;
        }
        inForce = revision;
        epoch = Math.max(epoch, revision.epoch());
        if (isEverything) {
            // Services absent at the applied revision need no replica any more.
            services.values().removeIf(watched -> watched.replica.state().isEmpty()
                    && !watched.replica.revision().isAfter(revision));
        }
        listener.inForce(revision);
    }
}
