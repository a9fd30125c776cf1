package pathlane.discovery;

import java.time.Duration;
import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/**
 * The root of the publisher tree: the writable catalogue, its publisher, and the measurement of how long each change takes
 * until all controllers have applied it. Not thread-safe: used on the event loop's thread.
 */
public final class Source {

    /**
     * The interval at which progress is checked while a change is not applied everywhere; limits the error of the measured
     * times.
     */
    private static final Duration PROGRESS_POLL_INTERVAL = Duration.ofMillis(100);

    private final Catalogue catalogue;
    private final Publisher publisher;
    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final InForceTracker inForce = new InForceTracker();
    private boolean isTracking;

    /** {@code epoch} must be greater than the epochs of all earlier starts of this catalogue's source. */
    public Source(long epoch, PublisherTerms terms, AuthenticatedLink.Context common, Scheduler scheduler,
            RandomGenerator random) {
        this.common = common;
        this.scheduler = scheduler;
        this.catalogue = new Catalogue(terms.historyChanges());
        catalogue.beginEpoch(epoch);
        this.publisher = new Publisher(catalogue, terms, scheduler, random);
        catalogue.addListener((service, revision, removesOrDrains) -> track(revision));
    }

    /**
     * The writable catalogue, whose changes reach the subscribers. It is incomplete until {@link Catalogue#complete} is
     * called.
     */
    public Catalogue catalogue() {
        return catalogue;
    }

    /** The state machine of an accepted connection. */
    public Protocol accept() {
        return PublisherLink.accept(publisher, common);
    }

    public Publisher publisher() {
        return publisher;
    }

    public InForceTracker inForce() {
        return inForce;
    }

    private void track(Revision revision) {
        inForce.recordCommit(revision, scheduler.now());
        if (!isTracking) {
            isTracking = true;
            scheduler.after(PROGRESS_POLL_INTERVAL, this::pollProgress);
        }
    }

    private void pollProgress() {
        inForce.progress(publisher.progress(), scheduler.now());
        isTracking = inForce.isWaiting();
        if (isTracking) {
            scheduler.after(PROGRESS_POLL_INTERVAL, this::pollProgress);
        }
    }
}
