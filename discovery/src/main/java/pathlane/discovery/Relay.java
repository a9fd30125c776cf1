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
 * One watch of everything upstream for many watches downstream. Without its upstream it goes on serving what it holds, and
 * says how old that is. On the loop's thread.
 */
public final class Relay {

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** Two words on how old the content is that differ by no more mean the same moment. */
    private static final Duration STALE_SINCE_TOLERANCE = Duration.ofSeconds(2);

    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final Catalogue catalogue;
    private final Publisher publisher;
    private final WatchClient upstream;
    private Optional<Instant> staleSince = Optional.empty();
    private Optional<Scheduler.Timer> reportTimer = Optional.empty();

    /** Dials nothing yet. */
    public Relay(WatchTerms upstream, PublisherTerms terms, AuthenticatedLink.Context common, Connector connector,
            Scheduler scheduler,
            RandomGenerator random) {
        this.common = common;
        this.scheduler = scheduler;
        this.catalogue = new Catalogue(terms.historyChanges());
        this.publisher = new Publisher(catalogue, terms, scheduler, random);
        this.upstream = new WatchClient(upstream, connector, common, scheduler, random, new Upstream());
    }

    /** Begins to look for an upstream. */
    public void start() {
        upstream.watchEverything();
        report();
        upstream.start();
    }

    /** Ends all connections, upstream and downstream. */
    public void stop() {
        reportTimer.ifPresent(Scheduler.Timer::cancel);
        upstream.stop();
        publisher.close(CloseReason.SHUTDOWN);
    }

    /** The state machine of a connection that a subscriber has opened. */
    public Protocol accept() {
        return PublisherLink.accept(publisher, common);
    }

    /** The downstream side. */
    public Publisher publisher() {
        return publisher;
    }

    /** The upstream side. */
    public WatchClient upstream() {
        return upstream;
    }

    /** What is held of the upstream's catalogue. */
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

    /** Feeds the catalogue. */
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
            catalogue.complete();   // a bookmark of a complete upstream follows all that it has
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
