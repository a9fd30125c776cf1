package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/**
 * Maintains one upstream watch of the complete catalogue and serves many downstream watches from it. While disconnected
 * from its upstream, it continues to serve the content held and reports how stale it is. Not thread-safe: used on the
 * event loop's thread.
 */
public final class Relay {

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** Start times of staleness that differ by less than this are treated as equal. */
    private static final Duration STALE_SINCE_TOLERANCE = Duration.ofSeconds(2);

    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final Catalogue catalogue;
    private final Publisher publisher;
    private final WatchClient upstream;
    private Optional<Instant> staleSince = Optional.empty();
    private Optional<Scheduler.Timer> reportTimer = Optional.empty();

    /** Does not connect before {@link #start}. */
    public Relay(WatchTerms upstream, PublisherTerms terms, AuthenticatedLink.Context common, Connector connector,
            Scheduler scheduler,
            RandomGenerator random) {
        this.common = common;
        this.scheduler = scheduler;
        this.catalogue = new Catalogue(terms.historyChanges());
        this.publisher = new Publisher(catalogue, terms, scheduler, random);
        this.upstream = new WatchClient(upstream, connector, common, scheduler, random, new Upstream());
    }

    /** Starts connecting to an upstream. */
    public void start() {
        upstream.watchEverything();
        report();
        upstream.start();
    }

    /** Closes all connections, upstream and downstream. */
    public void stop() {
        reportTimer.ifPresent(Scheduler.Timer::cancel);
        upstream.stop();
        publisher.close(CloseReason.SHUTDOWN);
    }

    /** The state machine of an accepted subscriber connection. */
    public Protocol accept() {
        return PublisherLink.accept(publisher, common);
    }

    /** The publisher that serves the downstream watches. */
    public Publisher publisher() {
        return publisher;
    }

    /** The client that watches the upstream. */
    public WatchClient upstream() {
        return upstream;
    }

    /** The content received from the upstream. */
    public Catalogue catalogue() {
        return catalogue;
    }

    private void report() {
        upstream.report(publisher.progress());
        reportTimer = Optional.of(scheduler.after(REPORT_INTERVAL, this::report));
    }

    private void setStaleSince(Optional<Instant> lostAt) {
        boolean isSame = staleSince.isPresent() && lostAt.isPresent()
                && Duration.between(staleSince.get(), lostAt.get()).abs().compareTo(STALE_SINCE_TOLERANCE) < 0;
        if (!isSame) {
            staleSince = lostAt;
            publisher.setStaleSince(lostAt);
        }
    }

    /** Applies the upstream's changes to the catalogue. */
    private final class Upstream implements WatchListener {

        @Override
        public void changed(ServiceState state, ServiceChange change) {
            catalogue.apply(state, change);
        }

        @Override
        public void absent(String service, Revision revision) {
            catalogue.applyAbsent(service, revision);
        }

        @Override
        public void inForce(Revision revision) {
            catalogue.advance(revision);
            catalogue.complete();   // a bookmark of a complete upstream is sent after all of its content
        }

        @Override
        public void status(PublisherStatus status) {
            setStaleSince(status.staleFor().isZero() ? Optional.empty()
                    : Optional.of(scheduler.now().minus(status.staleFor())));
        }

        @Override
        public void disconnected() {
            if (staleSince.isEmpty()) {
                setStaleSince(Optional.of(scheduler.now()));
            }
        }
    }
}
