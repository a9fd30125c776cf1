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
 * Sends the changes of a catalogue to the subscribers that watch them, each at its own pace, and adds up how far the
 * controllers below are. A change costs the sessions that watch it; a bookmark is encoded once for all sessions. On the
 * loop's thread.
 */
public final class Publisher {

    /** Ticks in {@link PublisherTerms#bookmarkEvery}; a bookmark may leave earlier by one of them. */
    private static final int TICKS_PER_BOOKMARK = 10;
    /** What a subscriber that finds no room is told to wait, to which up to half is added. */
    private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(10);

    /** The publisher's side of one connection. */
    public interface Session {

        /**
         * A message came.
         *
         * @throws BadInput where it is none, or breaks the protocol; the connection is to be ended
         */
        void received(byte[] message);

        /** The connection has ended; called once, and last. */
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
    /** All that are open, with those that have not been accepted yet. */
    private final Set<SubscriberSession> sessions = new LinkedHashSet<>();
    private final Set<SubscriberSession> accepted = new LinkedHashSet<>();
    private final Set<SubscriberSession> unresolved = new LinkedHashSet<>();
    /** Sessions that have something to send at the end of this turn. */
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
        this.tickInterval = terms.bookmarkEvery().dividedBy(TICKS_PER_BOOKMARK);
        catalogue.addListener(new ChangeDispatcher());
    }

    /** A connection has come up; what it says goes to the session. */
    public Session open(SubscriberPort port) {
        SubscriberSession session = new SubscriberSession(this, encoder, metrics, terms, port, scheduler.now());
        sessions.add(session);
        if (!isTicking) {
            isTicking = true;
            scheduleTick();
        }
        return session;
    }

    /** Ends all connections. */
    public void close(CloseReason reason) {
        List.copyOf(sessions).forEach(session -> session.end(reason));
    }

    /** At a relay: since when it has lost its way to the source, or that it has one. Subscribers are told. */
    public void setStaleSince(Optional<Instant> lostAt) {
        if (!staleSince.equals(lostAt)) {
            staleSince = lostAt;
            sendStatusToAll();
        }
    }

    /** How far the connected controllers and those below the connected relays are. */
    public ProgressReport progress() {
        return progress.report(catalogue.revision());
    }

    public PublisherCounters counters() {
        return metrics.counters(accepted.size());
    }

    /** What the publisher says of itself now. */
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
            // Acknowledgements that came during an own stall have yet to be read: that time counts against nobody.
            sessions.forEach(session -> session.excludeStall(late));
        }
        Duration heartbeatInterval = terms.bookmarkEvery().minus(tickInterval);
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

    // ---- for sessions

    Instant now() {
        return scheduler.now();
    }

    /** Takes one more watch, where the result is empty, or says after what time to come back. */
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

    /** Has a session send at the end of this turn, so that changes of one turn leave together. */
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

    /** A session watches everything from now on, in place of single services. */
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

    /** Services whose removal the revision of a bookmark does not cover yet. */
    List<String> removedSinceRevision() {
        return catalogue.removedSinceRevision();
    }

    /** The catalogue's own copy of a name, so that each subscriber does not keep one. */
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

    /** A bookmark at the catalogue's revision, encoded once. */
    byte[] bookmarkMessage() {
        if (bookmarkMessage.length == 0 || !encodedBookmark.equals(catalogue.revision())) {
            encodedBookmark = catalogue.revision();
            bookmarkMessage = WatchCodec.bytes(new WatchMessage.Bookmark(encodedBookmark));
        }
        return bookmarkMessage;
    }

    /** The status as of now, encoded once for all who are told it at the same time. */
    byte[] statusMessage() {
        PublisherStatus status = status();
        if (!status.equals(encodedStatus)) {
            encodedStatus = status;
            statusMessage = WatchCodec.bytes(new WatchMessage.Status(status));
        }
        return statusMessage;
    }
}
