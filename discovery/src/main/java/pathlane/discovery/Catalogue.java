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
 * The services that a publisher can tell of, under a revision that only grows, with a bounded history of changes. The source
 * writes one and numbers its changes; a relay fills one with the content and the revisions of its upstream. On the loop's
 * thread.
 */
public final class Catalogue {

    /** Services that have gone whose revision of removal is kept; older ones are absent at the catalogue's revision. */
    private static final int MAX_REMOVED_SERVICES = 8_192;

    private final Map<String, CatalogueEntry> entries = new LinkedHashMap<>();
    private final Map<String, Revision> removed = new LinkedHashMap<>();
    private final ChangeHistory history;
    private final List<CatalogueListener> listeners = new ArrayList<>();
    private Revision revision = Revision.NONE;
    private boolean isComplete;

    /** {@code historyChanges} bounds the changes and changed endpoints that are kept for deltas. */
    public Catalogue(int historyChanges) {
        history = new ChangeHistory(historyChanges);
    }

    /** Has a listener told of all that follows. */
    public void addListener(CatalogueListener listener) {
        listeners.add(listener);
    }

    // ---- at the source

    /**
     * Begins a new epoch; whatever is in the catalogue stays.
     *
     * @throws IllegalArgumentException where it is not greater than the one before
     */
    public void begin(long epoch) {
        if (epoch <= revision.epoch()) {
            throw new IllegalArgumentException("epoch " + epoch + " does not come after " + revision.epoch());
        }
        revision = new Revision(epoch, 0);
    }

    /**
     * Changes a service, or adds it.
     *
     * @param upserted endpoints that are new or differ; one that is gone counts as removed
     * @param configuration the new configuration, or empty to leave it as it is
     * @return the service's revision; that from before where nothing differs
     * @throws IllegalArgumentException where something is beyond {@link CatalogueLimits}; nothing has changed then
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

    /** Makes this a service's whole content; the difference is worked out. Otherwise as {@link #update}. */
    public Revision replace(String service, List<ServerEndpoint> endpoints, String configuration) {
        return update(service, endpoints, missingIds(service, endpoints), Optional.of(configuration));
    }

    /** Removes a service. Returns the revision of its removal, or the catalogue's where there is none of this name. */
    public Revision remove(String service) {
        if (!entries.containsKey(service)) {
            return revision;
        }
        revision = revision.next();
        removeEntry(service, revision);
        advanced();
        return revision;
    }

    // ---- at a relay

    /** A service's state came from the upstream, by this change. One that is not newer than what is held is passed over. */
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

    /** The upstream has no such service at this revision. */
    public void applyAbsent(String service, Revision at) {
        if (at.isAfter(lastRevision(service))) {
            removeEntry(service, at);
        }
    }

    /** Everything of the upstream's up to this revision is held. */
    public void advance(Revision to) {
        if (to.isAfter(revision)) {
            revision = to;
            advanced();
        }
    }

    // ---- at both

    /** The whole catalogue is held from now on: what it lacks does not exist. */
    public void complete() {
        if (!isComplete) {
            isComplete = true;
            listeners.forEach(CatalogueListener::completed);
        }
    }

    public boolean isComplete() {
        return isComplete;
    }

    /** Everything up to this revision is held; single services may be further. */
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

    /** The revision at which a service that the catalogue lacks is known to be absent. */
    Revision absentSince(String service) {
        return removed.getOrDefault(service, revision);
    }

    /** Services that are known to have gone after the revision up to which everything is held. */
    List<String> removedSinceRevision() {
        return removed.entrySet().stream().filter(service -> service.getValue().isAfter(revision))
                .map(Map.Entry::getKey).toList();
    }

    /** The entry of a service, or null where there is none. */
    CatalogueEntry entry(String service) {
        return entries.get(service);
    }

    /** Everything that has changed in a service since it was at a revision; empty where that is too long ago. */
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
        Optional<String> configuration = changedParts.configuration() ? Optional.of(entry.configuration()) : Optional.empty();
        return new ServiceChange.Delta(entry.service(), from, entry.revision(), entry.digest(), upserted, removedIds,
                configuration);
    }

    private void add(CatalogueEntry entry) {
        removed.remove(entry.service());
        entries.put(entry.service(), entry);
    }

    /** The ids that a service has and a new list of its endpoints has not. */
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
