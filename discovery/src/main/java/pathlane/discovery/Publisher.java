package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;

/**
 * Sends the changes of a catalogue to the subscribers that watch them, each at its own pace, and aggregates which
 * revisions the controllers below have applied. The cost of a change is proportional to the number of sessions that watch
 * the service; a bookmark is encoded once for all sessions. Not thread-safe: used on the event loop's thread.
 */
public final class Publisher {

    /** Ticks per {@link PublisherTerms#bookmarkInterval}; a bookmark may be sent up to one tick early. */
    private static final int TICKS_PER_BOOKMARK = 10;
    /** The retry delay for subscribers beyond the limit; a jitter of up to half of it is added. */
    private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(10);

    /** The publisher's side of one connection. */
    public interface Session {

        /**
         * Handles a message of the subscriber.
         *
         * @throws pathlane.wire.ProtocolException if the message is malformed or violates the protocol; the caller must
         *         close the connection
         */
        void received(byte[] message);

        /** Handles the end of the connection; called exactly once, as the last call. */
        void closed();
    }

    private final Catalogue catalogue;
    private final PublisherTerms terms;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final PublisherMetrics metrics = new PublisherMetrics();
    private final UpdateEncoder encoder;
    private final WatchAdmission admission;
    private final Duration tickInterval;
    private final SubscriberIndex index = new SubscriberIndex();
    private final ProgressTable progress = new ProgressTable();
    /** All open sessions, including those not yet accepted. */
    private final Set<SubscriberSession> sessions = new LinkedHashSet<>();
    private final Set<SubscriberSession> accepted = new LinkedHashSet<>();
    private final Set<SubscriberSession> unresolved = new LinkedHashSet<>();
    /** Sessions that are flushed at the end of this event loop turn. */
    private Set<SubscriberSession> scheduled = new LinkedHashSet<>();
    private boolean isTicking;
    private Instant tickDueAt = Instant.MIN;
    private Optional<Instant> staleSince = Optional.empty();
    private Revision encodedBookmark = Revision.NONE;
    private byte[] bookmarkMessage = {};
    private PublisherStatus encodedStatus;
    private byte[] statusMessage = {};

    public Publisher(Catalogue catalogue, PublisherTerms terms, Scheduler scheduler, RandomGenerator random) {
        this.catalogue = catalogue;
        this.terms = terms;
        this.scheduler = scheduler;
        this.random = random;
        this.encoder = new UpdateEncoder(catalogue, metrics, UpdateEncoder.MAX_CACHED_BYTES);
        this.admission = new WatchAdmission(terms.watchesPerSecond(), terms.watchBurst(), scheduler.now(), random);
        this.tickInterval = terms.bookmarkInterval().dividedBy(TICKS_PER_BOOKMARK);
        catalogue.addListener(new ChangeDispatcher());
    }

    /** Opens a session for a new connection; the connection's messages must be passed to it. */
    public Session open(SubscriberPort port) {
        SubscriberSession session = new SubscriberSession(this, encoder, metrics, terms, port, scheduler.now());
        sessions.add(session);
        if (!isTicking) {
            isTicking = true;
            scheduleTick();
        }
        return session;
    }

    /** Closes all connections. */
    public void close(CloseReason reason) {
        List.copyOf(sessions).forEach(session -> session.end(reason));
    }

    /**
     * Sets since when a relay has been disconnected from the source, empty while it is connected. Subscribers are notified
     * of a change.
     */
    public void setStaleSince(Optional<Instant> lostAt) {
        if (!staleSince.equals(lostAt)) {
            staleSince = lostAt;
            sendStatusToAll();
        }
    }

    /** The revisions applied by the connected controllers and by those below the connected relays. */
    public ProgressReport progress() {
        return progress.report(catalogue.revision());
    }

    public PublisherCounters counters() {
        return metrics.counters(accepted.size());
    }

    /** The publisher's current status. */
    public PublisherStatus status() {
        Duration staleFor = staleSince.map(since -> Duration.between(since, scheduler.now())).orElse(Duration.ZERO);
        return new PublisherStatus(catalogue.isComplete(), catalogue.revision(),
                staleFor.isNegative() ? Duration.ZERO : staleFor);
    }

    private void sendStatusToAll() {
        byte[] message = statusMessage();
        List.copyOf(accepted).forEach(session -> session.sendStatus(message));
    }

    private void scheduleTick() {
        tickDueAt = scheduler.now().plus(tickInterval);
        scheduler.after(tickInterval, this::tick);
    }

    private void tick() {
        Instant now = scheduler.now();
        Duration late = Duration.between(tickDueAt, now);
        if (late.compareTo(tickInterval) > 0) {
            // Acknowledgements that arrived during a stall of this process are not read yet: the stall does not count as
            // the subscribers' silence.
            sessions.forEach(session -> session.excludeStall(late));
        }
        Duration heartbeatInterval = terms.bookmarkInterval().minus(tickInterval);
        List.copyOf(sessions).forEach(session -> session.tick(now, heartbeatInterval));
        isTicking = !sessions.isEmpty();
        if (isTicking) {
            scheduleTick();
        }
    }

    private void flush() {
        Set<SubscriberSession> due = scheduled;
        scheduled = new LinkedHashSet<>();
        due.forEach(SubscriberSession::flush);
    }

    private final class ChangeDispatcher implements CatalogueListener {
        @Override
        public void changed(String service, Revision revision, boolean removesOrDrains) {
            encoder.invalidate(service);
            index.forEach(service, session -> session.changed(service, removesOrDrains));
        }

        @Override
        public void advanced(Revision revision) {
            if (catalogue.isComplete()) {
                resolve();
            }
        }

        @Override
        public void completed() {
            resolve();
            sendStatusToAll();
        }

        private void resolve() {
            List<SubscriberSession> due = List.copyOf(unresolved);
            unresolved.clear();
            due.forEach(SubscriberSession::resolve);
        }
    }

    // ---- used by the sessions

    Instant now() {
        return scheduler.now();
    }

    /** Admits one more watch and returns empty, or returns the retry delay. */
    Optional<Duration> admit() {
        if (accepted.size() >= terms.subscribers()) {
            return Optional.of(FULL_RETRY_AFTER.plusMillis(random.nextLong(FULL_RETRY_AFTER.toMillis() / 2)));
        }
        return admission.admit(scheduler.now());
    }

    void accepted(SubscriberSession session) {
        accepted.add(session);
        progress.register(session, session.name());
    }

    /**
     * Schedules a session's flush for the end of this event loop turn, so that the changes of one turn are sent together.
     */
    void schedule(SubscriberSession session) {
        if (scheduled.isEmpty()) {
            scheduler.after(Duration.ZERO, this::flush);
        }
        scheduled.add(session);
    }

    void addWatch(SubscriberSession session, String service) {
        index.add(service, session);
    }

    void removeWatch(SubscriberSession session, String service) {
        index.remove(service, session);
    }

    /** Switches a session from single services to the complete catalogue. */
    void watchEverything(SubscriberSession session, Iterable<String> services) {
        services.forEach(service -> index.remove(service, session));
        index.addEverything(session);
    }

    void addUnresolved(SubscriberSession session) {
        unresolved.add(session);
    }

    void recordProgress(SubscriberSession session, Revision inForce) {
        progress.putController(session, session.name(), inForce);
    }

    void recordProgress(SubscriberSession session, ProgressReport report) {
        progress.putRelay(session, session.name(), report);
    }

    void ended(SubscriberSession session) {
        sessions.remove(session);
        accepted.remove(session);
        unresolved.remove(session);
        scheduled.remove(session);
        progress.remove(session, session.name());
        index.removeEverything(session);
        session.services().forEach(service -> index.remove(service, session));
    }

    List<String> services() {
        return catalogue.services();
    }

    /** Services that were removed after the catalogue's revision, which a bookmark does not cover yet. */
    List<String> removedSinceRevision() {
        return catalogue.removedSinceRevision();
    }

    /** The catalogue's own instance of a name, so that subscribers share it and do not each keep a copy. */
    String sharedName(String service) {
        CatalogueEntry entry = catalogue.entry(service);
        return entry == null ? service : entry.service();
    }

    Revision revision() {
        return catalogue.revision();
    }

    boolean isComplete() {
        return catalogue.isComplete();
    }

    boolean isStale() {
        return staleSince.isPresent();
    }

    /** A bookmark at the catalogue's revision, encoded once per revision. */
    byte[] bookmarkMessage() {
        if (bookmarkMessage.length == 0 || !encodedBookmark.equals(catalogue.revision())) {
            encodedBookmark = catalogue.revision();
            bookmarkMessage = WatchCodec.bytes(new WatchMessage.Bookmark(encodedBookmark));
        }
        return bookmarkMessage;
    }

    /** The current status, encoded once for all subscribers that receive it at the same time. */
    byte[] statusMessage() {
        PublisherStatus status = status();
        if (!status.equals(encodedStatus)) {
            encodedStatus = status;
            statusMessage = WatchCodec.bytes(new WatchMessage.Status(status));
        }
        return statusMessage;
    }
}
