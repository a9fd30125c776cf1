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
import pathlane.wire.BadInput;

/**
 * A watch: keeps the services that its user names in step with the source's catalogue, by one publisher at a time out of
 * several. Without any, the last state stays in force. On the loop's thread.
 *
 * <p>A client whose publisher is not its preferred one, or can't be relied on, looks for a better one from time to time. It
 * brings up a second connection, and closes the first once the watch is accepted there.
 */
public final class WatchClient {

    private static final Logger LOG = System.getLogger("discovery");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** Some 100 KiB of names at the longest, which leaves room for others' messages on the way. */
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
    /** The connection whose content is applied, from its dial on. */
    private Optional<WatchSession> current = Optional.empty();
    /** The connection to a better publisher, until the watch is accepted there. */
    private Optional<WatchSession> candidate = Optional.empty();
    private Optional<PublisherStatus> status = Optional.empty();
    private Optional<Scheduler.Timer> reconnectTimer = Optional.empty();
    private Optional<Scheduler.Timer> moveTimer = Optional.empty();
    private Optional<Scheduler.Timer> reportTimer = Optional.empty();
    private Optional<ProgressReport> report = Optional.empty();
    private Optional<ProgressReport> sentReport = Optional.empty();

    /** Dials nothing yet. */
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

    /** Begins to look for a publisher. */
    public void start() {
        if (!isRunning) {
            isRunning = true;
            connect();
        }
    }

    /** Ends all connections; the last state stays, and nothing more is told. */
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

    /** Takes a service out of the watch; its state is forgotten. */
    public void unwatch(String service) {
        if (services.unwatch(service)) {
            sendToAll(new WatchMessage.Subscribe(services.isEverything(), true, List.of(), List.of(service)));
        }
    }

    /** Watches all services, those to come among them. */
    public void watchEverything() {
        services.watchEverything();
        sendToAll(new WatchMessage.Subscribe(true, true, services.interests(), List.of()));
    }

    /** The state in force of a watched service; empty where none was received, or there is no such service. */
    public Optional<ServiceState> state(String service) {
        return services.state(service);
    }

    /** Everything that the watch concerns up to this revision is in force. */
    public Revision inForce() {
        return services.inForce();
    }

    /** What the publisher says of itself, while the watch is accepted there. */
    public Optional<PublisherStatus> status() {
        return status;
    }

    /** The publisher's name, while the watch is accepted there. */
    public Optional<String> publisher() {
        return current.filter(WatchSession::isAccepted).map(session -> session.publisher().name());
    }

    public WatchCounters counters() {
        return tally.total();
    }

    /** How far the subscribers below a relay are: sent on when it has changed, once a second at most. */
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
        WatchSession session = new WatchSession(publisher, common, scheduler, terms.silentAfter(), tally, connections);
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
        // At once, so that a relay is never counted as a controller.
        report.ifPresent(known -> session.send(new WatchMessage.Progress(known)));
    }

    private void accepted(WatchSession session, PublisherStatus fresh) {
        if (session.isAccepted()) {
            throw new BadInput("a watch that is accepted twice");
        }
        if (services.isOutdated(fresh.revision())) {
            session.end(CloseReason.OVERTAKEN);   // it never heard that the source has begun anew
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

    // ---- going to a better publisher

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
            return;   // planned again once a publisher has accepted
        }
        boolean isReliable = status.filter(WatchClient::isReliable).isPresent();
        candidate = selector.better(publisher().get(), isReliable, scheduler.now()).map(this::open);
        if (candidate.isEmpty()) {
            scheduleMove();
        }
    }

    // ---- what the publisher tells

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
            case UNUSABLE_PUBLISHER -> throw new BadInput("a snapshot of '" + change.service()
                    + "' that differs from its digest");
            case DONE -> {}
        }
    }

    /** What the connections tell; those that were given up concern nobody. */
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
                refused(session, one.comeBackAfter());
            } else if (!session.isAccepted()) {
                throw new BadInput("content of a publisher that has not accepted the watch");
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
