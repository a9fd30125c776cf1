package pathlane.discovery;

import java.time.Duration;
import java.util.random.RandomGenerator;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/**
 * The root of the tree of publishers: the catalogue that is written here, the publisher above it, and the time that each
 * change takes until every controller has it in force. On the loop's thread.
 */
public final class Source {

    /** How often progress is looked at while a change is on its way; bounds the error of the times measured. */
    private static final Duration PROGRESS_POLL_INTERVAL = Duration.ofMillis(100);

    private final Catalogue catalogue;
    private final Publisher publisher;
    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final InForceTracker inForce = new InForceTracker();
    private boolean isTracking;

    /** {@code epoch} must be greater than that of every earlier start of a source of this catalogue. */
    public Source(long epoch, PublisherTerms terms, AuthenticatedLink.Context common, Scheduler scheduler,
            RandomGenerator random) {
        this.common = common;
        this.scheduler = scheduler;
        this.catalogue = new Catalogue(terms.historyChanges());
        catalogue.begin(epoch);
        this.publisher = new Publisher(catalogue, terms, scheduler, random);
        catalogue.addListener((service, revision, removesOrDrains) -> track(revision));
    }

    /** What is written here reaches the subscribers. It is complete only once {@link Catalogue#isComplete} is called. */
    public Catalogue catalogue() {
        return catalogue;
    }

    /** The state machine of a connection that was accepted. */
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
        inForce.note(revision, scheduler.now());
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
