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

/** What must hold of what a publisher sends: bounds, the order of removals, and the rate of admission. */
final class PublisherInvariants {

    /** An update's own fields around its changes. */
    private static final int ENVELOPE_BYTES = 16;
    private static final double TOKEN_ERROR = 1e-6;

    /** Tokens of a publisher's admission, by the terms. */
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

    /** A publisher accepts a watch: no faster than at the stated rate. */
    void accepted(ObservedLink link) {
        Instant now = link.publisher.time().now();
        Bucket bucket = buckets.computeIfAbsent(link.publisher.name() + "#" + link.publisherLife, any -> full(now));
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

    /** A publisher sends an update: within its bounds, and removals before all else. */
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
            violations.report(link.publisher.name(), "has " + (before + bytes) + " bytes under way to " + link.subscriber);
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
            link.noteOrdinaryUpdate(ordinary, revisions(catalogue));
        }
    }

    /** Whether nothing was taken away of a service in what a delta sums up. */
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

    /** The first revision at which a change takes away a server that its receiver may send calls to. */
    private Optional<Revision> removal(ServiceChange change) {
        return change instanceof ServiceChange.Delta delta && delta.from().epoch() == delta.revision().epoch()
                ? history.firstWithdrawal(delta.service(), delta.from(), delta.revision()) : Optional.empty();
    }
}
