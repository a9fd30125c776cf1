package pathlane.lab.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import pathlane.discovery.Catalogue;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceChange;
import pathlane.discovery.WatchMessage;

/** Invariants of the messages that a publisher sends: size limits, the order of removals, and the admission rate. */
final class PublisherInvariants {

    /** Bytes of an update's own fields, besides its changes. */
    private static final int ENVELOPE_BYTES = 16;
    private static final double TOKEN_ERROR = 1e-6;

    /** Token bucket that models a publisher's admission rate. */
    private static final class Bucket {
        double tokens;
        Instant filledAt;
    }

    private final PublisherTerms terms;
    private final SourceHistory history;
    private final Violations violations;
    private final Map<String, Bucket> buckets = new HashMap<>();

    PublisherInvariants(PublisherTerms terms, SourceHistory history, Violations violations) {
        this.terms = terms;
        this.history = history;
        this.violations = violations;
    }

    /** Checks that a publisher accepts watches no faster than its configured rate. */
    void accepted(ObservedLink link) {
        Instant now = link.publisher.time().now();
        Bucket bucket = buckets.computeIfAbsent(link.publisher.name() + "#" + link.publisherIncarnation, any -> full(now));
        double seconds = Duration.between(bucket.filledAt, now).toNanos() / 1e9;
        bucket.tokens = Math.min(terms.watchBurst(), bucket.tokens + seconds * terms.watchesPerSecond());
        bucket.filledAt = now;
        if (bucket.tokens < 1 - TOKEN_ERROR) {
            violations.report(link.publisher.name(), "accepts " + link.subscriber + " faster than "
                    + terms.watchesPerSecond() + " a second");
        }
        bucket.tokens--;
    }

    private Bucket full(Instant now) {
        Bucket bucket = new Bucket();
        bucket.tokens = terms.watchBurst();
        bucket.filledAt = now;
        return bucket;
    }

    /** Checks that an update is within its size limits, and that removals are sent before other changes. */
    void updated(ObservedLink link, WatchMessage.Update update, int bytes, Catalogue catalogue) {
        checkBounds(link, update, bytes);
        checkRemovalsFirst(link, update, catalogue);
    }

    private void checkBounds(ObservedLink link, WatchMessage.Update update, int bytes) {
        int changes = update.changes().size();
        if (changes > 1 && bytes > terms.updateBytes() + ENVELOPE_BYTES) {
            violations.report(link.publisher.name(), "sends " + link.subscriber + " an update of " + bytes + " bytes");
        }
        int before = link.unacknowledgedBytes();
        link.unacknowledged.put(update.batch(), bytes);
        int envelopes = link.unacknowledged.size() * ENVELOPE_BYTES;
        boolean isLoneChange = changes == 1 && before == 0;
        if (!isLoneChange && before + bytes > terms.unacknowledgedBytes() + envelopes) {
            violations.report(link.publisher.name(),
                    "has " + (before + bytes) + " unacknowledged bytes to " + link.subscriber);
        }
    }

    private void checkRemovalsFirst(ObservedLink link, WatchMessage.Update update, Catalogue catalogue) {
        String ordinary = null;
        for (ServiceChange change : update.changes()) {
            Optional<Revision> removal = removal(change);
            if (removal.isPresent() && ordinary != null) {
                violations.report(link.publisher.name(), "sends " + link.subscriber + " " + ordinary
                        + " ahead of the removal in " + change.service() + " in one update");
            }
            if (removal.isPresent() && !removal.get().isAfter(
                    link.revisionsAtLastUpdate().getOrDefault(change.service(), Revision.NONE))) {
                violations.report(link.publisher.name(), "sent " + link.subscriber + " " + link.lastUpdateWithoutRemoval()
                        + " while the removal at " + removal.get() + " in " + change.service() + " waited");
            }
            if (change instanceof ServiceChange.Delta delta && isOrdinary(delta)) {
                ordinary = change.service();
            }
        }
        if (ordinary != null) {
            link.recordOrdinaryUpdate(ordinary, revisions(catalogue));
        }
    }

    /** Whether the revisions that a delta covers removed or drained no server of the service. */
    private boolean isOrdinary(ServiceChange.Delta delta) {
        return delta.from().epoch() == delta.revision().epoch()
                && !history.hasRemoval(delta.service(), delta.from(), delta.revision());
    }

    private static Map<String, Revision> revisions(Catalogue catalogue) {
        Map<String, Revision> revisions = new HashMap<>();
        catalogue.services().forEach(service -> catalogue.state(service)
                .ifPresent(state -> revisions.put(service, state.revision())));
        return revisions;
    }

    /** Returns the first revision at which a change removes a server that its receiver may send calls to. */
    private Optional<Revision> removal(ServiceChange change) {
        return change instanceof ServiceChange.Delta delta && delta.from().epoch() == delta.revision().epoch()
                ? history.firstWithdrawal(delta.service(), delta.from(), delta.revision()) : Optional.empty();
    }
}
