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
 * One service's state at a subscriber. A change is applied only if the result is exactly the content that its sender
 * holds; otherwise the state is left unchanged, and the result names the required action.
 */
public final class ServiceReplica {

    /** The outcome of applying a change. */
    public sealed interface Result {}

    /** The change was applied. */
    public record Applied() implements Result {}

    /** The change is not newer than the current state. */
    public record Ignored() implements Result {}

    /** The change can't be applied; a snapshot of the service must be requested. */
    public record NeedsSnapshot(String reason) implements Result {}

    /** The sender's catalogue is incomplete, and the change would remove content that may exist. */
    public record Withheld(String reason) implements Result {}

    private static final Comparator<ServerEndpoint> BY_ID = Comparator.comparingLong(ServerEndpoint::id);

    private final String service;
    private Revision revision;
    private Optional<ServiceState> state = Optional.empty();

    /** A replica that has received no state yet. */
    public ServiceReplica(String service) {
        this(service, Revision.NONE);
    }

    /** A replica of a service known not to exist at this revision. */
    ServiceReplica(String service, Revision absentAt) {
        this.service = service;
        this.revision = absentAt;
    }

    /** The service's name. */
    public String service() {
        return service;
    }

    /** The current state; empty if none was received or the service does not exist. */
    public Optional<ServiceState> state() {
        return state;
    }

    /** The revision of the current state or of the service's absence; {@link Revision#NONE} before the first. */
    public Revision revision() {
        return revision;
    }

    /** Whether no state was received yet. */
    public boolean isUnknown() {
        return revision.equals(Revision.NONE);
    }

    /** The interest in this service, to be sent to a publisher. */
    public WatchMessage.Interest interest() {
        return state.map(held -> new WatchMessage.Interest(service, held.revision(), held.digest()))
                .orElseGet(() -> new WatchMessage.Interest(service, Revision.NONE, 0));
    }

    /**
     * Applies a change, or returns why it was not applied.
     *
     * @param isPublisherComplete whether the sender's catalogue is complete
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
            return new NeedsSnapshot("the snapshot's content does not match its digest");
        }
        if (!isPublisherComplete && removesMajority(fresh.endpoints())) {
            return new Withheld("an incomplete publisher's snapshot lacks more than half of the endpoints");
        }
        state = Optional.of(fresh);
        revision = fresh.revision();
        return new Applied();
    }

    private Result applyAbsent(Revision absentAt, boolean isPublisherComplete) {
        if (!isPublisherComplete) {
            return new Withheld("an incomplete publisher reports that the service does not exist");
        }
        state = Optional.empty();
        revision = absentAt;
        return new Applied();
    }

    private Result applyDelta(ServiceChange.Delta delta) {
        if (state.isEmpty() || !delta.from().equals(revision)) {
            return new NeedsSnapshot(
                    "a delta from revision " + delta.from() + ", but revision " + revision + " is in force");
        }
        ServiceState held = state.get();
        List<ServerEndpoint> endpoints = merge(held.endpoints(), delta.upserted(), delta.removed());
        String configuration = delta.configuration().orElse(held.configuration());
        if (digest(held, delta) != delta.digest()) {
            return new NeedsSnapshot("the delta's result does not match its digest");
        }
        state = Optional.of(new ServiceState(service, delta.revision(), delta.digest(), endpoints, configuration));
        revision = delta.revision();
        return new Applied();
    }

    /** Computed from the change alone: the current state was verified against its own digest before. */
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

    /** The current endpoints in ascending order of ids, with some added, replaced or removed. */
    private static List<ServerEndpoint> merge(List<ServerEndpoint> held, List<ServerEndpoint> upserted, List<Long> removed) {
        Set<Long> replaced = replaced(upserted, removed);
        List<ServerEndpoint> merged = new ArrayList<>(held.size() + upserted.size());
        held.stream().filter(endpoint -> !replaced.contains(endpoint.id())).forEach(merged::add);
        merged.addAll(upserted);
        merged.sort(BY_ID);   // two ascending runs: linear time
        return Collections.unmodifiableList(merged);
    }
}
