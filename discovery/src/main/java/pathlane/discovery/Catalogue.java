package pathlane.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.core.ServerEndpoint;

/**
 * The services that a publisher distributes, under a monotonically increasing revision, with a bounded history of changes.
 * The source writes its catalogue and numbers the changes; a relay fills its catalogue with the content and revisions of
 * its upstream. Not thread-safe: used on the event loop's thread.
 */
public final class Catalogue {

    /**
     * How many removed services keep their revision of removal; older ones count as absent at the catalogue's revision.
     */
    private static final int MAX_REMOVED_SERVICES = 8_192;

    private final Map<String, CatalogueEntry> entries = new LinkedHashMap<>();
    private final Map<String, Revision> removed = new LinkedHashMap<>();
    private final ChangeHistory history;
    private final List<CatalogueListener> listeners = new ArrayList<>();
    private Revision revision = Revision.NONE;
    private boolean isComplete;

    /** {@code historyChanges} limits the changes and changed endpoints kept for deltas. */
    public Catalogue(int historyChanges) {
        history = new ChangeHistory(historyChanges);
    }

    /** Registers a listener for all later events. */
    public void addListener(CatalogueListener listener) {
        listeners.add(listener);
    }

    // ---- used by the source

    /**
     * Starts a new epoch; the content is kept.
     *
     * @throws IllegalArgumentException if it is not greater than the previous one
     */
    public void beginEpoch(long epoch) {
        if (epoch <= revision.epoch()) {
            throw new IllegalArgumentException("epoch " + epoch + " is not greater than " + revision.epoch());
        }
        revision = new Revision(epoch, 0);
    }

    /**
     * Changes a service, or adds it.
     *
     * @param upserted new or changed endpoints; one with status GONE is removed
     * @param configuration the new configuration, or empty to keep the current one
     * @return the service's revision; unchanged if nothing differs
     * @throws IllegalArgumentException if a limit of {@link CatalogueLimits} is exceeded; nothing is changed then
     */
    public Revision update(String service, List<ServerEndpoint> upserted, List<Long> removedIds,
            Optional<String> configuration) {
        CatalogueEntry entry = entries.get(service);
        boolean isNew = entry == null;
        if (isNew) {
            entry = new CatalogueEntry(service);
        }
        CatalogueLimits.check(service, entry.sizeAfter(upserted, removedIds), upserted, configuration);
        if (isNew) {
            add(entry);
        }
        CatalogueEntry.Difference difference = entry.change(upserted, removedIds,
                configuration.orElse(entry.configuration()));
        if (difference.isEmpty() && !isNew) {
            return entry.revision();
        }
        revision = revision.next();
        recordChange(entry, difference, revision);
        advanced();
        return revision;
    }

    /** Replaces a service's complete content by computing the difference. Otherwise as {@link #update}. */
    public Revision replace(String service, List<ServerEndpoint> endpoints, String configuration) {
        return update(service, endpoints, missingIds(service, endpoints), Optional.of(configuration));
    }

    /** Removes a service. Returns the revision of its removal, or the catalogue's revision if there is no such service. */
    public Revision remove(String service) {
        if (!entries.containsKey(service)) {
            return revision;
        }
        revision = revision.next();
        removeEntry(service, revision);
        advanced();
        return revision;
    }

    // ---- used by relays

    /**
     * Applies a service's state received from the upstream, together with the change that led to it. Ignored unless it is
     * newer than the state held.
     */
    public void apply(ServiceState state, ServiceChange change) {
        String service = state.service();
        if (!state.revision().isAfter(lastRevision(service))) {
            return;
        }
        CatalogueEntry entry = entries.get(service);
        if (entry == null) {
            entry = new CatalogueEntry(service);
            add(entry);
        }
        CatalogueEntry.Difference difference;
        if (change instanceof ServiceChange.Delta delta && delta.from().equals(entry.revision())) {
            difference = entry.change(delta.upserted(), delta.removed(), state.configuration());
        } else {
            difference = entry.change(state.endpoints(), missingIds(service, state.endpoints()), state.configuration());
        }
        recordChange(entry, difference, state.revision());
    }

    /** Records that the upstream has no such service at this revision. */
    public void applyAbsent(String service, Revision at) {
        if (at.isAfter(lastRevision(service))) {
            removeEntry(service, at);
        }
    }

    /** Records that all changes of the upstream up to this revision have been received. */
    public void advance(Revision to) {
        if (to.isAfter(revision)) {
            revision = to;
            advanced();
        }
    }

    // ---- used by both

    /** Marks the catalogue as complete: services missing from it do not exist. */
    public void complete() {
        if (!isComplete) {
            isComplete = true;
            listeners.forEach(CatalogueListener::completed);
        }
    }

    public boolean isComplete() {
        return isComplete;
    }

    /** All changes up to this revision are held; single services may be newer. */
    public Revision revision() {
        return revision;
    }

    public Optional<ServiceState> state(String service) {
        return Optional.ofNullable(entries.get(service)).map(CatalogueEntry::state);
    }

    /** The names of all services. */
    public List<String> services() {
        return List.copyOf(entries.keySet());
    }

    /** The revision at which a service missing from the catalogue is known to be absent. */
    Revision absentSince(String service) {
        return removed.getOrDefault(service, revision);
    }

    /** Services known to be removed after the catalogue's revision. */
    List<String> removedSinceRevision() {
        return removed.entrySet().stream().filter(service -> service.getValue().isAfter(revision))
                .map(Map.Entry::getKey).toList();
    }

    /** The entry of a service, or null if there is none. */
    CatalogueEntry entry(String service) {
        return entries.get(service);
    }

    /** All changes of a service since a revision, as one delta; empty if the history does not reach back that far. */
    Optional<ServiceChange.Delta> deltaSince(CatalogueEntry entry, Revision from) {
        return history.since(entry.service(), from).map(changedParts -> delta(entry, from, changedParts));
    }

    private static ServiceChange.Delta delta(CatalogueEntry entry, Revision from, ChangeHistory.ChangedParts changedParts) {
        List<ServerEndpoint> upserted = new ArrayList<>();
        List<Long> removedIds = new ArrayList<>();
        for (long id : changedParts.endpoints()) {
            ServerEndpoint endpoint = entry.endpoint(id);
            if (endpoint == null) {
                removedIds.add(id);
            } else {
                upserted.add(endpoint);
            }
        }
        Optional<String> configuration =
                changedParts.configuration() ? Optional.of(entry.configuration()) : Optional.empty();
        return new ServiceChange.Delta(entry.service(), from, entry.revision(), entry.digest(), upserted, removedIds,
                configuration);
    }

    private void add(CatalogueEntry entry) {
        removed.remove(entry.service());
        entries.put(entry.service(), entry);
    }

    /** The ids of a service's endpoints that a new list of endpoints does not contain. */
    private List<Long> missingIds(String service, Collection<ServerEndpoint> endpoints) {
        CatalogueEntry entry = entries.get(service);
        if (entry == null) {
            return List.of();
        }
        Set<Long> kept = new HashSet<>();
        endpoints.forEach(endpoint -> kept.add(endpoint.id()));
        List<Long> missing = entry.ids();
        missing.removeIf(kept::contains);
        return missing;
    }

    private Revision lastRevision(String service) {
        CatalogueEntry entry = entries.get(service);
        return entry != null ? entry.revision() : removed.getOrDefault(service, Revision.NONE);
    }

    private void recordChange(CatalogueEntry entry, CatalogueEntry.Difference difference, Revision at) {
        if (!entry.held().isNothing()) {
            history.add(entry.service(), new ChangeHistory.Step(entry.revision(), difference.endpoints(),
                    difference.configuration()));
        }
        entry.setRevision(at);
        listeners.forEach(listener -> listener.changed(entry.service(), at, difference.removesOrDrains()));
    }

    private void removeEntry(String service, Revision at) {
        if (entries.remove(service) != null) {
            history.forget(service);
        }
        removed.put(service, at);
        if (removed.size() > MAX_REMOVED_SERVICES) {
            removed.remove(removed.keySet().iterator().next());
        }
        listeners.forEach(listener -> listener.changed(service, at, true));
    }

    private void advanced() {
        listeners.forEach(listener -> listener.advanced(revision));
    }
}
