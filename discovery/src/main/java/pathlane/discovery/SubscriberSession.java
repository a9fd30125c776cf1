package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Progress;
import pathlane.discovery.WatchMessage.Refused;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.wire.ProtocolException;

/**
 * The publisher's side of one connection: the subscriber's watch, the changes sent to it and the revision it has applied.
 */
final class SubscriberSession implements Publisher.Session {

    /** Limits memory use: a watch of more services than any deployment has is rejected. */
    private static final int MAX_SERVICES = 1 << 16;

    private enum Phase {
        /** No subscription was received yet. */
        OPENED,
        /** The watch is accepted. */
        WATCHING,
        /** Rejected or closed: nothing more is sent, and received messages are ignored. */
        ENDED
    }

    private final Publisher publisher;
    private final UpdateEncoder encoder;
    private final PublisherMetrics metrics;
    private final PublisherTerms terms;
    private final SubscriberPort port;
    private Instant openedAt;
    private final SubscriberQueue queue = new SubscriberQueue();
    private final SendWindow window;
    private Phase phase = Phase.OPENED;
    private boolean watchesEverything;
    /** Whether the last message of a subscription was received: the subscriber holds no service that it did not list. */
    private boolean isSubscriptionComplete;
    private boolean isRelay;
    private Revision bookmarkedRevision = Revision.NONE;
    private Instant bookmarkedAt = Instant.MIN;
    /** When the last bookmark or status was sent. */
    private Instant heartbeatAt = Instant.MIN;

    SubscriberSession(Publisher publisher, UpdateEncoder encoder, PublisherMetrics metrics, PublisherTerms terms,
            SubscriberPort port, Instant now) {
        this.publisher = publisher;
        this.encoder = encoder;
        this.metrics = metrics;
        this.terms = terms;
        this.port = port;
        this.openedAt = now;
        this.window = new SendWindow(terms.unacknowledgedBytes(), terms.acknowledgeTimeout());
    }

    // ---- messages from the subscriber

    @Override
    public void received(byte[] bytes) {
        if (phase == Phase.ENDED) {
            return;
        }
        WatchMessage message = WatchCodec.message(bytes);
        if (message instanceof Subscribe subscribe) {
            subscribe(subscribe);
        } else if (phase == Phase.OPENED) {
            throw new ProtocolException("the first message of a watch must be a subscription");
        } else if (message instanceof Acknowledge acknowledge) {
            acknowledged(acknowledge);
        } else if (message instanceof Progress progress) {
            isRelay = true;
            publisher.recordProgress(this, progress.report());
        } else {
            throw new ProtocolException("received a publisher's message from a subscriber");
        }
    }

    @Override
    public void closed() {
        if (phase != Phase.ENDED) {
            phase = Phase.ENDED;
            publisher.ended(this);
        }
    }

    private void subscribe(Subscribe message) {
        if (phase == Phase.OPENED && !admit()) {
            return;
        }
        if (message.everything() && !watchesEverything) {
            watchesEverything = true;
            publisher.watchEverything(this, queue.services());
        }
        message.ended().forEach(this::unwatch);
        message.interests().forEach(this::watch);
        isSubscriptionComplete = message.last();
        if (watchesEverything && isSubscriptionComplete) {
            publisher.services().forEach(this::watchIfAbsent);
            // Keeps a new relay from reporting a service as absent at a revision at which it existed.
            publisher.removedSinceRevision().forEach(this::watchIfAbsent);
        }
        publisher.schedule(this);
    }

    private boolean admit() {
        Optional<Duration> retryAfter = publisher.admit();
        if (retryAfter.isPresent()) {
            metrics.refused++;
            send(WatchCodec.bytes(new Refused(retryAfter.get())));
            end(CloseReason.LIMIT_REACHED);
            return false;
        }
        phase = Phase.WATCHING;
        metrics.watches++;
        heartbeatAt = publisher.now();
        publisher.accepted(this);
        publisher.recordProgress(this, Revision.NONE);
        send(WatchCodec.bytes(new WatchMessage.Accepted(publisher.status())));
        return phase == Phase.WATCHING;   // the connection may close within send() if it can't take more data
    }

    private void watch(Interest interest) {
        boolean isAlreadyWatched = queue.isWatched(interest.service());
        if (!isAlreadyWatched && queue.size() >= MAX_SERVICES) {
            throw new ProtocolException("a watch of more than " + MAX_SERVICES + " services");
        }
        String service = publisher.sharedName(interest.service());
        HeldVersion held = interest.heldRevision().equals(Revision.NONE) ? HeldVersion.NOTHING
                : new HeldVersion(interest.heldRevision(), interest.digest());
        queue.watch(service, held);
        if (!watchesEverything) {
            publisher.addWatch(this, service);
        }
        // A service that is requested again has some state applied at the subscriber that may list servers that no
        // longer exist.
        boolean removesOrDrains = isAlreadyWatched || !held.isNothing()
                && encoder.change(service, held).map(EncodedChange::removesOrDrains).orElse(false);
        queue.add(service, removesOrDrains);
    }

    private void watchIfAbsent(String service) {
        if (!queue.isWatched(service)) {
            queue.watch(service, HeldVersion.NOTHING);
            queue.add(service, false);
        }
    }

    private void unwatch(String service) {
        if (!watchesEverything) {
            queue.unwatch(service);
            publisher.removeWatch(this, service);
        }
    }

    private void acknowledged(Acknowledge message) {
        window.acknowledged(message.batch(), publisher.now());
        if (!isRelay) {
            publisher.recordProgress(this, message.inForce());
        }
        if (!queue.isEmpty()) {
            publisher.schedule(this);
        }
    }

    // ---- events of the catalogue

    /** Queues a changed service that this subscriber watches. */
    void changed(String service, boolean removesOrDrains) {
        if (!queue.isWatched(service)) {
            if (!isSubscriptionComplete) {
                return;   // a later message of the subscription may list what the subscriber holds of it
            }
            queue.watch(service, HeldVersion.NOTHING);
        }
        boolean isUrgent = removesOrDrains && !queue.held(service).isNothing();
        if (queue.add(service, isUrgent)) {
            metrics.coalesced++;
        }
        publisher.schedule(this);
    }

    /** Queues the services whose existence was unknown before and may be known now. */
    void resolve() {
        if (queue.hasUnresolved()) {
            queue.requeueUnresolved();
            publisher.schedule(this);
        }
    }

    // ---- messages to the subscriber

    /** Sends queued changes as far as the send window and the connection permit. */
    void flush() {
        while (phase == Phase.WATCHING && !queue.isEmpty() && !port.isBlocked()) {
            List<EncodedChange> batch = nextBatch();
            if (batch.isEmpty()) {
                return;
            }
            sendUpdate(batch);
        }
    }

    private List<EncodedChange> nextBatch() {
        List<EncodedChange> batch = new ArrayList<>();
        int size = 0;
        while (!queue.isEmpty()) {
            String service = queue.next();
            HeldVersion held = queue.held(service);
            Optional<EncodedChange> change = encoder.change(service, held);
            if (change.isEmpty()) {
                skipOrPostpone(service, held);
                continue;
            }
            int newSize = size + change.get().size();
            boolean fits = batch.isEmpty() ? window.hasRoom(newSize)
                    : newSize <= Math.min(terms.updateBytes(), window.availableBytes());
            if (!fits) {
                break;
            }
            size = newSize;
            batch.add(change.get());
            markSent(service, change.get());
        }
        return batch;
    }

    private void markSent(String service, EncodedChange change) {
        if (watchesEverything && change.kind() == EncodedChange.Kind.ABSENT) {
            queue.unwatch(service);   // bounds memory use when services are created and removed continually
        } else {
            queue.sent(service, change.held());
        }
    }

    /** Handles a service for which no change can be sent now, or none is needed. */
    private void skipOrPostpone(String service, HeldVersion held) {
        if (encoder.isUnresolved(service, held)) {
            queue.postpone(service);
            publisher.addUnresolved(this);
        } else {
            queue.sent(service, held);
        }
    }

    private void sendUpdate(List<EncodedChange> batch) {
        int size = batch.stream().mapToInt(EncodedChange::size).sum();
        long number = window.sentUpdate(size, publisher.now());
        batch.forEach(metrics::countSent);
        send(WatchCodec.update(number, batch.stream().map(EncodedChange::bytes).toList()));
    }

    /** Extends the subscriber's timeouts by a stall of the publisher's own process. */
    void excludeStall(Duration stall) {
        openedAt = openedAt.plus(stall);
        window.excludeStall(stall);
    }

    /** Checks timeouts and sends what is due; called several times per {@link PublisherTerms#bookmarkInterval}. */
    void tick(Instant now, Duration heartbeatInterval) {
        if (phase == Phase.OPENED) {
            if (hasElapsed(openedAt, terms.acknowledgeTimeout(), now)) {
                end(CloseReason.UNFINISHED);
            }
            return;
        }
        if (window.isTimedOut(now)) {
            metrics.unresponsive++;
            end(CloseReason.SILENT);
            return;
        }
        flush();
        if (phase == Phase.WATCHING && !port.isBlocked()) {
            heartbeat(now, heartbeatInterval);
        }
    }

    private void heartbeat(Instant now, Duration interval) {
        boolean isSynchronized = isSynchronized();
        boolean isHeartbeatDue = hasElapsed(heartbeatAt, interval, now);
        boolean isNewBookmarkDue =
                publisher.revision().isAfter(bookmarkedRevision) && hasElapsed(bookmarkedAt, interval, now);
        if (isHeartbeatDue && (publisher.isStale() || !isSynchronized)) {
            sendStatus(publisher.statusMessage());
        }
        // A bookmark is also sent without a new revision: its missing acknowledgement reveals a dead subscriber.
        if (isSynchronized && (isHeartbeatDue || isNewBookmarkDue)) {
            sendBookmark(now);
        }
    }

    private static boolean hasElapsed(Instant since, Duration time, Instant now) {
        return !now.isBefore(since.plus(time));
    }

    /** Whether all changes of the watch up to the catalogue's revision have been sent. */
    private boolean isSynchronized() {
        return isSubscriptionComplete && publisher.isComplete() && queue.isEmpty() && !queue.hasUnresolved();
    }

    private void sendBookmark(Instant now) {
        bookmarkedRevision = publisher.revision();
        bookmarkedAt = now;
        heartbeatAt = now;
        window.sentBookmark(now);
        metrics.bookmarksSent++;
        send(publisher.bookmarkMessage());
    }

    /** Sends the publisher's status, encoded once for all subscribers. */
    void sendStatus(byte[] message) {
        if (phase == Phase.WATCHING && !port.isBlocked()) {
            heartbeatAt = publisher.now();
            send(message);
        }
    }

    private void send(byte[] message) {
        metrics.messagesSent++;
        metrics.bytesSent += message.length;
        port.send(message);
    }

    /** Ends the session and closes the connection. */
    void end(CloseReason reason) {
        closed();
        port.close(reason);
    }

    /** The subscriber's name. */
    String name() {
        return port.name();
    }

    Set<String> services() {
        return queue.services();
    }
}
