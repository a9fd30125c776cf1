package pathlane.discovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pathlane.core.ServerEndpoint;

/**
 * One service's state at a subscriber. A change is applied only where it leads to exactly the content that its sender holds;
 * anything else leaves the state as it is, and the result says what to do instead.
 */
public final class ServiceReplica {

    /** What became of a change. */
    public sealed interface Result {}

    /** The change is in force. */
    public record Applied() implements Result {}

    /** The change is no newer than what is in force. */
    public record Ignored() implements Result {}

    /** The change can't be applied; the service must be sent whole. */
    public record NeedsSnapshot(String reason) implements Result {}

    /** The sender does not hold the whole catalogue yet, and the change would take away what may exist. */
    public record Withheld(String reason) implements Result {}

    private static final Comparator<ServerEndpoint> BY_ID = Comparator.comparingLong(ServerEndpoint::id);

    private final String service;
    private Revision revision;
    private Optional<ServiceState> state = Optional.empty();

    /** Of which nothing was received. */
    public ServiceReplica(String service) {
        this(service, Revision.NONE);
    }

    /** Which is known not to exist at this revision. */
    ServiceReplica(String service, Revision absentAt) {
        this.service = service;
        this.revision = absentAt;
    }

    /** The service's name. */
    public String service() {
        return service;
    }

    /** The state in force; empty where none was received or the service does not exist. */
    public Optional<ServiceState> state() {
        return state;
    }

    /** The revision in force, of the state or of its absence; {@link Revision#NONE} before the first. */
    public Revision revision() {
        return revision;
    }

    /** Whether nothing was received yet. */
    public boolean isUnknown() {
        return revision.equals(Revision.NONE);
    }

    /** What a publisher is told of this replica. */
    public WatchMessage.Interest interest() {
        return state.map(held -> new WatchMessage.Interest(service, held.revision(), held.digest()))
                .orElseGet(() -> new WatchMessage.Interest(service, Revision.NONE, 0));
    }

    /**
     * Applies a change, or says why not.
     *
     * @param isPublisherComplete whether its sender holds the whole catalogue
     */
    public Result apply(ServiceChange change, boolean isPublisherComplete) {
        if (!change.revision().isAfter(revision)) {
            return new Ignored();
        }
        if (change instanceof ServiceChange.Delta delta) {
            return applyDelta(delta);
        }
        if (change instanceof ServiceChange.Snapshot snapshot) {
            return applySnapshot(snapshot.state(), isPublisherComplete);
        }
        return applyAbsent(change.revision(), isPublisherComplete);
    }

    private Result applySnapshot(ServiceState fresh, boolean isPublisherComplete) {
        if (!isAscending(fresh.endpoints())
                || ServiceDigest.of(fresh.endpoints(), fresh.configuration()) != fresh.digest()) {
            return new NeedsSnapshot("a snapshot whose content differs from its digest");
        }
        if (!isPublisherComplete && removesMajority(fresh.endpoints())) {
            return new Withheld("an incomplete publisher's snapshot without most of the endpoints");
        }
        state = Optional.of(fresh);
        revision = fresh.revision();
        return new Applied();
    }

    private Result applyAbsent(Revision absentAt, boolean isPublisherComplete) {
        if (!isPublisherComplete) {
            return new Withheld("an incomplete publisher's word that the service does not exist");
        }
        state = Optional.empty();
        revision = absentAt;
        return new Applied();
    }

    private Result applyDelta(ServiceChange.Delta delta) {
        if (state.isEmpty() || !delta.from().equals(revision)) {
            return new NeedsSnapshot("a delta from " + delta.from() + " where " + revision + " is in force");
        }
        ServiceState held = state.get();
        List<ServerEndpoint> endpoints = merge(held.endpoints(), delta.upserted(), delta.removed());
        String configuration = delta.configuration().orElse(held.configuration());
        if (digest(held, delta) != delta.digest()) {
            return new NeedsSnapshot("a delta whose result differs from its digest");
        }
        state = Optional.of(new ServiceState(service, delta.revision(), delta.digest(), endpoints, configuration));
        revision = delta.revision();
        return new Applied();
    }

    /** Worked out by the change alone: what is held has been compared with its own digest before. */
    private static long digest(ServiceState held, ServiceChange.Delta delta) {
        Set<Long> replaced = replaced(delta.upserted(), delta.removed());
        long digest = held.digest();
        for (ServerEndpoint endpoint : held.endpoints()) {
            if (replaced.contains(endpoint.id())) {
                digest = ServiceDigest.without(digest, endpoint);
            }
        }
        for (ServerEndpoint endpoint : delta.upserted()) {
            digest = ServiceDigest.with(digest, endpoint);
        }
        return ServiceDigest.withConfiguration(digest, held.configuration(),
                delta.configuration().orElse(held.configuration()));
    }

    private static Set<Long> replaced(List<ServerEndpoint> upserted, List<Long> removed) {
        Set<Long> replaced = new HashSet<>(removed);
        upserted.forEach(endpoint -> replaced.add(endpoint.id()));
        return replaced;
    }

    private boolean removesMajority(List<ServerEndpoint> fresh) {
        List<ServerEndpoint> held = state.map(ServiceState::endpoints).orElse(List.of());
        Set<Long> kept = new HashSet<>();
        fresh.forEach(endpoint -> kept.add(endpoint.id()));
        long removed = held.stream().filter(endpoint -> !kept.contains(endpoint.id())).count();
        return removed * 2 > held.size();
    }

    private static boolean isAscending(List<ServerEndpoint> endpoints) {
        for (int i = 1; i < endpoints.size(); i++) {
            if (endpoints.get(i - 1).id() >= endpoints.get(i).id()) {
                return false;
            }
        }
        return true;
    }

    /** The held endpoints, in ascending order, with some added or replaced and others taken out. */
    private static List<ServerEndpoint> merge(List<ServerEndpoint> held, List<ServerEndpoint> upserted, List<Long> removed) {
        Set<Long> replaced = replaced(upserted, removed);
        List<ServerEndpoint> merged = new ArrayList<>(held.size() + upserted.size());
        held.stream().filter(endpoint -> !replaced.contains(endpoint.id())).forEach(merged::add);
        merged.addAll(upserted);
        merged.sort(BY_ID);   // two ascending runs: linear
        return Collections.unmodifiableList(merged);
    }
}
