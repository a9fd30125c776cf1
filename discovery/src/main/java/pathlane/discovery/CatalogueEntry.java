package pathlane.discovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * One service of a {@link Catalogue}. It is changed in place, so that the cost of a change is proportional to the
 * endpoints changed.
 */
final class CatalogueEntry {

    /**
     * The parts of a service that differ after a change.
     *
     * @param removesOrDrains whether an endpoint was removed or started draining
     */
    record Difference(Set<Long> endpoints, boolean configuration, boolean removesOrDrains) {
        boolean isEmpty() {
            return endpoints.isEmpty() && !configuration;
        }
    }

    private final String service;
    private final Map<Long, ServerEndpoint> endpoints = new TreeMap<>();
    private String configuration = "";
    private long digest = ServiceDigest.of(List.of(), "");
    private HeldVersion held = HeldVersion.NOTHING;
    /** Computed on demand and cached until the next change. */
    private ServiceState state;

    CatalogueEntry(String service) {
        this.service = service;
    }

    String service() {
        return service;
    }

    Revision revision() {
        return held.revision();
    }

    /** The version that a subscriber holds after receiving this entry completely; one object shared by all subscribers. */
    HeldVersion held() {
        return held;
    }

    ServerEndpoint endpoint(long id) {
        return endpoints.get(id);
    }

    String configuration() {
        return configuration;
    }

    /** The number of endpoints after a change. */
    int sizeAfter(List<ServerEndpoint> upserted, List<Long> removed) {
        Set<Long> added = new HashSet<>();
        for (ServerEndpoint endpoint : upserted) {
            if (!endpoints.containsKey(endpoint.id())) {
                added.add(endpoint.id());
            }
        }
        int size = endpoints.size() + added.size();
        for (long id : new HashSet<>(removed)) {
            if (endpoints.containsKey(id) || added.contains(id)) {
                size--;
            }
        }
        return size;
    }

    List<Long> ids() {
        return new ArrayList<>(endpoints.keySet());
    }

    /** Applies a change; an upserted endpoint with status GONE is removed. */
    Difference change(List<ServerEndpoint> upserted, List<Long> removed, String newConfiguration) {
        Set<Long> touched = new HashSet<>();
        boolean removesOrDrains = false;
        for (ServerEndpoint endpoint : upserted) {
            if (endpoint.status() == ServerStatus.GONE) {
                removesOrDrains |= remove(endpoint.id(), touched);
            } else {
                removesOrDrains |= upsert(endpoint, touched);
            }
        }
        for (long id : removed) {
            removesOrDrains |= remove(id, touched);
        }
        boolean configured = !newConfiguration.equals(configuration);
        if (configured) {
            digest = ServiceDigest.withConfiguration(digest, configuration, newConfiguration);
            configuration = newConfiguration;
        }
        return new Difference(touched, configured, removesOrDrains);
    }

    /** Adds or replaces an endpoint. Returns whether it starts draining. */
    private boolean upsert(ServerEndpoint endpoint, Set<Long> touched) {
        ServerEndpoint former = endpoints.put(endpoint.id(), endpoint);
        if (endpoint.equals(former)) {
            return false;
        }
        if (former != null) {
            digest = ServiceDigest.without(digest, former);
        }
        digest = ServiceDigest.with(digest, endpoint);
        touched.add(endpoint.id());
        return endpoint.status() == ServerStatus.DRAINING && former != null && former.status() != ServerStatus.DRAINING;
    }

    private boolean remove(long id, Set<Long> touched) {
        ServerEndpoint former = endpoints.remove(id);
        if (former == null) {
            return false;
        }
        digest = ServiceDigest.without(digest, former);
        touched.add(id);
        return true;
    }

    /** Sets the revision of the current content. */
    void setRevision(Revision revision) {
        held = new HeldVersion(revision, digest);
        state = null;
    }

    long digest() {
        return digest;
    }

    ServiceState state() {
        if (state == null) {
            state = new ServiceState(service, held.revision(), digest, List.copyOf(endpoints.values()), configuration);
        }
        return state;
    }
}
