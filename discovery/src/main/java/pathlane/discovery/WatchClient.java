package pathlane.discovery;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Connector;
import pathlane.wire.ProtocolException;

/**
 * A watch client: synchronizes the services that its user watches with the source's catalogue, using one of several
 * publishers at a time. While none is connected, the last state stays in use. Not thread-safe: used on the event loop's
 * thread.
 *
 * <p>A client whose publisher is not its preferred one, or is not reliable, periodically tries a better one. It opens a
 * second connection, and closes the first one when the watch is accepted on the second.
 */
public final class WatchClient {

    private static final Logger LOG = System.getLogger("discovery");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** About 100 KiB of names at most, so that a message does not delay others on the connection for long. */
    private static final int INTERESTS_PER_MESSAGE = 1_000;

    private final WatchTerms terms;
    private final Connector connector;
    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final WatchListener listener;
    private final PublisherSelector selector;
    private final WatchCounters.Tally tally = new WatchCounters.Tally();
    private final WatchedServices services;
    private final Connections connections = new Connections();
    private boolean isRunning;
    /** The connection whose changes are applied, from the connection attempt on. */
    private Optional<WatchSession> current = Optional.empty();
    /** The connection to a better publisher, until the watch is accepted on it. */
    private Optional<WatchSession> candidate = Optional.empty();
    private Optional<PublisherStatus> status = Optional.empty();
    private Optional<Scheduler.Timer> reconnectTimer = Optional.empty();
    private Optional<Scheduler.Timer> moveTimer = Optional.empty();
    private Optional<Scheduler.Timer> reportTimer = Optional.empty();
    private Optional<ProgressReport> report = Optional.empty();
    private Optional<ProgressReport> sentReport = Optional.empty();

    /** Does not connect before {@link #start}. */
    public WatchClient(WatchTerms terms, Connector connector, AuthenticatedLink.Context common, Scheduler scheduler,
            RandomGenerator random, WatchListener listener) {
        this.terms = terms;
        this.connector = connector;
        this.common = common;
        this.scheduler = scheduler;
        this.listener = listener;
        this.selector = new PublisherSelector(terms, random);
        this.services = new WatchedServices(listener, tally);
    }

    /** Starts connecting to a publisher. */
    public void start() {
        if (!isRunning) {
            isRunning = true;
            connect();
        }
    }

    /** Closes all connections. The last state is kept, and the listener is not called any more. */
    public void stop() {
        isRunning = false;
        cancelTimers();
        List<Optional<WatchSession>> sessions = List.of(current, candidate);
        current = Optional.empty();
        candidate = Optional.empty();
        status = Optional.empty();
        sessions.forEach(session -> session.ifPresent(one -> one.end(CloseReason.SHUTDOWN)));
    }

    private void cancelTimers() {
        List.of(reconnectTimer, moveTimer, reportTimer).forEach(timer -> timer.ifPresent(Scheduler.Timer::cancel));
        reconnectTimer = Optional.empty();
        moveTimer = Optional.empty();
        reportTimer = Optional.empty();
    }

    /** Adds a service to the watch. */
    public void watch(String service) {
        if (services.watch(service)) {
            requestSnapshots(List.of(service));
        }
    }

    /** Removes a service from the watch and drops its state. */
    public void unwatch(String service) {
        if (services.unwatch(service)) {
            sendToAll(new WatchMessage.Subscribe(services.isEverything(), true, List.of(), List.of(service)));
        }
    }

    /** Watches all services, including those added later. */
    public void watchEverything() {
        services.watchEverything();
        sendToAll(new WatchMessage.Subscribe(true, true, services.interests(), List.of()));
    }

    /** The current state of a watched service; empty if none was received or the service does not exist. */
    public Optional<ServiceState> state(String service) {
        return services.state(service);
    }

    /** The revision up to which all changes of the watch are applied. */
    public Revision inForce() {
        return services.inForce();
    }

    /** The publisher's status; empty unless the watch is accepted. */
    public Optional<PublisherStatus> status() {
        return status;
    }

    /** The publisher's name; empty unless the watch is accepted. */
    public Optional<String> publisher() {
        return current.filter(WatchSession::isAccepted).map(session -> session.publisher().name());
    }

    public WatchCounters counters() {
        return tally.total();
    }

    /** Reports the progress of a relay's subscribers: sent when it has changed, at most once a second. */
    public void report(ProgressReport fresh) {
        report = Optional.of(fresh);
        if (reportTimer.isEmpty()) {
            sendReport();
        }
    }

    private void sendReport() {
        reportTimer = Optional.empty();
        Optional<WatchSession> session = current.filter(WatchSession::isAccepted);
        if (session.isEmpty() || report.isEmpty() || report.equals(sentReport)) {
            return;
        }
        session.get().send(new WatchMessage.Progress(report.get()));
        sentReport = report;
        reportTimer = Optional.of(scheduler.after(REPORT_INTERVAL, this::sendReport));
    }

    private void requestSnapshots(List<String> names) {
        List<Interest> interests = names.stream().map(name -> new Interest(name, Revision.NONE, 0)).toList();
        sendToAll(new WatchMessage.Subscribe(services.isEverything(), true, interests, List.of()));
    }

    private void sendToAll(WatchMessage.Request request) {
        List.of(current, candidate).forEach(session -> session.filter(WatchSession::isAuthenticated)
                .ifPresent(one -> one.send(request)));
    }

    // ---- connections

    private void connect() {
        reconnectTimer = Optional.empty();
        if (!isRunning || current.isPresent()) {
            return;
        }
        PublisherSelector.Choice choice = selector.next(scheduler.now());
        if (choice instanceof PublisherSelector.Connect connect) {
            current = Optional.of(open(connect.publisher()));
        } else {
            reconnectTimer = Optional.of(scheduler.after(((PublisherSelector.Wait) choice).delay(), this::connect));
        }
    }

    private WatchSession open(PublisherAddress publisher) {
        WatchSession session = new WatchSession(publisher, common, scheduler, terms.silenceTimeout(), tally, connections);
        connector.connect(publisher.address(), CONNECT_TIMEOUT, session.link());
        return session;
    }

    private boolean isCurrent(WatchSession session) {
        return current.filter(one -> one == session).isPresent();
    }

    private boolean isCandidate(WatchSession session) {
        return candidate.filter(one -> one == session).isPresent();
    }

    private void sendSubscription(WatchSession session) {
        List<Interest> held = services.interests();
        int from = 0;
        do {
            int to = Math.min(from + INTERESTS_PER_MESSAGE, held.size());
            session.send(new WatchMessage.Subscribe(services.isEverything(), to == held.size(), held.subList(from, to),
                    List.of()));
            from = to;
        } while (from < held.size());
        // Sent immediately, so that a relay is never counted as a controller.
        report.ifPresent(known -> session.send(new WatchMessage.Progress(known)));
    }

    private void accepted(WatchSession session, PublisherStatus fresh) {
        if (session.isAccepted()) {
            throw new ProtocolException("the publisher accepted the watch twice");
        }
        if (services.isOutdated(fresh.revision())) {
            session.end(CloseReason.OVERTAKEN);   // the publisher has not received the source's new epoch
            return;
        }
        if (isCandidate(session)) {
            if (!isReliable(fresh)) {
                session.end(CloseReason.DISCONNECTED);
                return;
            }
            moveTo(session);
        }
        session.setAccepted();
        tally.connections++;
        selector.accepted(session.publisher().name());
        services.resumed();
        LOG.log(Level.INFO, "services are watched at {0}, which is at revision {1}", session.publisher().name(),
                fresh.revision());
        statusChanged(fresh);
        sentReport = Optional.empty();
        if (reportTimer.isEmpty()) {
            sendReport();
        }
    }

    private void moveTo(WatchSession better) {
        Optional<WatchSession> former = current;
        current = Optional.of(better);
        candidate = Optional.empty();
        former.ifPresent(session -> session.end(CloseReason.REPLACED));
    }

    private void refused(WatchSession session, Duration comeBackAfter) {
        tally.refused++;
        session.setRefused();
        selector.refused(session.publisher().name(), comeBackAfter, scheduler.now());
        session.end(CloseReason.LIMIT_REACHED);
    }

    private void lost(WatchSession session, CloseReason end) {
        current = Optional.empty();
        if (session.isAccepted()) {
            LOG.log(Level.WARNING, "the publisher {0} is lost: {1}; the last state stays in force",
                    session.publisher().name(), end);
            status = Optional.empty();
            listener.disconnected();
        }
        cancelMove();
        current = candidate;
        candidate = Optional.empty();
        connect();
    }

    // ---- moving to a better publisher

    private static boolean isReliable(PublisherStatus status) {
        return status.complete() && status.staleFor().isZero();
    }

    private void statusChanged(PublisherStatus fresh) {
        boolean becameComplete = fresh.complete() && status.filter(PublisherStatus::complete).isEmpty();
        status = Optional.of(fresh);
        if (becameComplete) {
            List<String> withheld = services.takeWithheld();
            if (!withheld.isEmpty()) {
                requestSnapshots(withheld);
            }
        }
        listener.status(fresh);
        scheduleMove();
    }

    private void scheduleMove() {
        boolean isOnReliablePreferred = publisher().filter(selector::isPreferred).isPresent()
                && status.filter(WatchClient::isReliable).isPresent();
        if (isOnReliablePreferred) {
            cancelMove();
        } else if (moveTimer.isEmpty() && candidate.isEmpty()) {
            moveTimer = Optional.of(scheduler.after(selector.returnDelay(), this::tryBetterPublisher));
        }
    }

    private void cancelMove() {
        moveTimer.ifPresent(Scheduler.Timer::cancel);
        moveTimer = Optional.empty();
    }

    private void tryBetterPublisher() {
        moveTimer = Optional.empty();
        if (publisher().isEmpty()) {
            return;   // scheduled again when a publisher accepts the watch
        }
        boolean isReliable = status.filter(WatchClient::isReliable).isPresent();
        candidate = selector.better(publisher().get(), isReliable, scheduler.now()).map(this::open);
        if (candidate.isEmpty()) {
            scheduleMove();
        }
    }

    // ---- messages of the publisher

    private void process(WatchSession session, WatchMessage.Response response) {
        if (response instanceof WatchMessage.Update update) {
            update.changes().forEach(change -> apply(session, change));
            session.send(new WatchMessage.Acknowledge(update.batch(), services.inForce()));
        } else if (response instanceof WatchMessage.Bookmark bookmark) {
            tally.bookmarks++;
            if (status.filter(PublisherStatus::complete).isPresent()) {
                services.bookmark(bookmark.revision());
            }
            session.send(new WatchMessage.Acknowledge(0, services.inForce()));
        } else if (response instanceof WatchMessage.Status changed) {
            statusChanged(changed.status());
        }
    }

    private void apply(WatchSession session, ServiceChange change) {
        boolean isComplete = status.filter(PublisherStatus::complete).isPresent();
        switch (services.apply(change, isComplete)) {
            case REQUEST_SNAPSHOT -> requestSnapshots(List.of(change.service()));
            case UNUSABLE_PUBLISHER -> throw new ProtocolException("the snapshot of '" + change.service()
                    + "' does not match its digest");
            case DONE -> {}
        }
    }

    /** Handles events of connections; those of connections no longer in use are ignored. */
    private final class Connections implements WatchSession.Owner {

        @Override
        public void connected(WatchSession session) {
            if (isCurrent(session) || isCandidate(session)) {
                sendSubscription(session);
            } else {
                session.end(CloseReason.SHUTDOWN);
            }
        }

        @Override
        public void received(WatchSession session, WatchMessage.Response response) {
            if (!isCurrent(session) && !isCandidate(session)) {
                return;
            }
            if (response instanceof WatchMessage.Accepted one) {
                accepted(session, one.status());
            } else if (response instanceof WatchMessage.Refused one) {
                refused(session, one.retryAfter());
            } else if (!session.isAccepted()) {
                throw new ProtocolException("the publisher sent content before it accepted the watch");
            } else {
                process(session, response);
            }
        }

        @Override
        public void ended(WatchSession session, CloseReason end) {
            if (!isCurrent(session) && !isCandidate(session)) {
                return;
            }
            if (!session.wasRefused()) {
                selector.failed(session.publisher().name(), scheduler.now());
            }
            if (isCurrent(session)) {
                lost(session, end);
            } else {
                candidate = Optional.empty();
                scheduleMove();
            }
        }
    }
}
