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
import pathlane.wire.BadInput;

/** A publisher's side of one connection: the subscriber's watch, what is sent to it, and how far it is. */
final class SubscriberSession implements Publisher.Session {

    /** Guards memory against a watch of more services than a fleet has. */
    private static final int MOST_SERVICES = 1 << 16;

    private enum Phase {
        /** Nothing was asked for yet. */
        OPENED,
        /** The watch is accepted. */
        WATCHING,
        /** Refused, or ended: nothing more is sent, and what comes is passed over. */
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
    private boolean everything;
    /** Whether the last message of a subscription has come: services that it does not name are not held. */
    private boolean isSubscriptionWhole;
    private boolean isRelay;
    private Revision bookmarked = Revision.NONE;
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
        this.window = new SendWindow(terms.unacknowledgedBytes(), terms.deadAfter());
    }

    // ---- from the subscriber

    @Override
    public void received(byte[] bytes) {
        if (phase == Phase.ENDED) {
            return;
        }
        WatchMessage message = WatchCodec.message(bytes);
        if (message instanceof Subscribe subscribe) {
            subscribe(subscribe);
        } else if (phase == Phase.OPENED) {
            throw new BadInput("a watch that does not begin with a subscription");
        } else if (message instanceof Acknowledge acknowledge) {
            acknowledged(acknowledge);
        } else if (message instanceof Progress progress) {
            isRelay = true;
            publisher.recordProgress(this, progress.report());
        } else {
            throw new BadInput("a publisher's message from a subscriber");
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
        if (phase == Phase.OPENED && !isAdmitted()) {
            return;
        }
        if (message.everything() && !everything) {
            everything = true;
            publisher.watchesEverything(this, queue.services());
        }
        message.ended().forEach(this::unwatch);
        message.interests().forEach(this::watch);
        isSubscriptionWhole = message.last();
        if (everything && isSubscriptionWhole) {
            publisher.services().forEach(this::watchFound);
            // Guards a new relay against calling a service absent at a revision at which it was there.
            publisher.removedSinceRevision().forEach(this::watchFound);
        }
        publisher.schedule(this);
    }

    private boolean isAdmitted() {
        Optional<Duration> comeBackAfter = publisher.admit();
        if (comeBackAfter.isPresent()) {
            metrics.refused++;
            send(WatchCodec.bytes(new Refused(comeBackAfter.get())));
            end(CloseReason.LIMIT_REACHED);
            return false;
        }
        phase = Phase.WATCHING;
        metrics.watches++;
        heartbeatAt = publisher.now();
        publisher.accepted(this);
        publisher.recordProgress(this, Revision.NONE);
        send(WatchCodec.bytes(new WatchMessage.Accepted(publisher.status())));
        return phase == Phase.WATCHING;   // a connection that can't take more may end within the call
    }

    private void watch(Interest interest) {
        boolean isAnew = queue.isWatched(interest.service());
        if (!isAnew && queue.size() >= MOST_SERVICES) {
            throw new BadInput("a watch of more than " + MOST_SERVICES + " services");
        }
        String service = publisher.sharedName(interest.service());
        Held held = interest.have().equals(Revision.NONE) ? Held.NOTHING : new Held(interest.have(), interest.digest());
        queue.watch(service, held);
        if (!everything) {
            publisher.watches(this, service);
        }
        // What is asked for anew is in force in some form that may name servers that are gone.
        boolean takesAway = isAnew || !held.isNothing()
                && encoder.change(service, held).map(EncodedChange::takesAway).orElse(false);
        queue.add(service, takesAway);
    }

    private void watchFound(String service) {
        if (!queue.isWatched(service)) {
            queue.watch(service, Held.NOTHING);
            queue.add(service, false);
        }
    }

    private void unwatch(String service) {
        if (!everything) {
            queue.unwatch(service);
            publisher.unwatches(this, service);
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

    // ---- from the catalogue

    /** A service that this subscriber watches has changed. */
    void changed(String service, boolean takesAway) {
        if (!queue.isWatched(service)) {
            if (!isSubscriptionWhole) {
                return;   // the subscriber may yet say what it holds of it
            }
            queue.watch(service, Held.NOTHING);
        }
        boolean isUrgent = takesAway && !queue.held(service).isNothing();
        if (queue.add(service, isUrgent)) {
            metrics.coalesced++;
        }
        publisher.schedule(this);
    }

    /** Services that could not be told of may be known now. */
    void resolve() {
        if (queue.hasUnresolved()) {
            queue.requeueUnresolved();
            publisher.schedule(this);
        }
    }

    // ---- to the subscriber

    /** Sends what waits, as far as there is room. */
    void flush() {
        while (phase == Phase.WATCHING && !queue.isEmpty() && !port.isStuck()) {
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
            Held held = queue.held(service);
            Optional<EncodedChange> change = encoder.change(service, held);
            if (change.isEmpty()) {
                settle(service, held);
                continue;
            }
            int larger = size + change.get().size();
            boolean fits = batch.isEmpty() ? window.hasRoom(larger)
                    : larger <= Math.min(terms.updateBytes(), window.room());
            if (!fits) {
                break;
            }
            size = larger;
            batch.add(change.get());
            taken(service, change.get());
        }
        return batch;
    }

    private void taken(String service, EncodedChange change) {
        if (everything && change.kind() == EncodedChange.Kind.ABSENT) {
            queue.unwatch(service);   // guards memory against names that come and go
        } else {
            queue.sent(service, change.held());
        }
    }

    /** Nothing can or need be sent of a service now. */
    private void settle(String service, Held held) {
        if (encoder.isUnresolved(service, held)) {
            queue.postpone(service);
            publisher.isUnresolved(this);
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

    /** The publisher itself did nothing for so long: the subscriber is given that time back. */
    void excludeStall(Duration stall) {
        openedAt = openedAt.plus(stall);
        window.excludeStall(stall);
    }

    /** What is due by time: called several times in {@link PublisherTerms#bookmarkEvery}. */
    void tick(Instant now, Duration heartbeatEvery) {
        if (phase == Phase.OPENED) {
            if (isOver(openedAt, terms.deadAfter(), now)) {
                end(CloseReason.UNFINISHED);
            }
            return;
        }
        if (window.isDead(now)) {
            metrics.unresponsive++;
            end(CloseReason.SILENT);
            return;
        }
        flush();
        if (phase == Phase.WATCHING && !port.isStuck()) {
            heartbeat(now, heartbeatEvery);
        }
    }

    private void heartbeat(Instant now, Duration every) {
        boolean isSynchronized = isSynchronized();
        boolean isSilent = isOver(heartbeatAt, every, now);
        boolean isNews = publisher.revision().isAfter(bookmarked) && isOver(bookmarkedAt, every, now);
        if (isSilent && (publisher.isStale() || !isSynchronized)) {
            sendStatus(publisher.statusMessage());
        }
        // Also while it says nothing new: a subscriber that is gone is found by its acknowledgements.
        if (isSynchronized && (isSilent || isNews)) {
            sendBookmark(now);
        }
    }

    private static boolean isOver(Instant since, Duration time, Instant now) {
        return !now.isBefore(since.plus(time));
    }

    /** Whether all that the watch concerns, up to the catalogue's revision, has been sent. */
    private boolean isSynchronized() {
        return isSubscriptionWhole && publisher.isComplete() && queue.isEmpty() && !queue.hasUnresolved();
    }

    private void sendBookmark(Instant now) {
        bookmarked = publisher.revision();
        bookmarkedAt = now;
        heartbeatAt = now;
        window.sentBookmark(now);
        metrics.bookmarksSent++;
        send(publisher.bookmarkMessage());
    }

    /** Tells the publisher's status, as encoded for all subscribers. */
    void sendStatus(byte[] message) {
        if (phase == Phase.WATCHING && !port.isStuck()) {
            heartbeatAt = publisher.now();
            send(message);
        }
    }

    private void send(byte[] message) {
        metrics.messagesSent++;
        metrics.bytesSent += message.length;
        port.send(message);
    }

    /** Ends the session from this side. */
    void end(CloseReason why) {
        closed();
        port.close(why);
    }

    /** The subscriber's name. */
    String name() {
        return port.name();
    }

    Set<String> services() {
        return queue.services();
    }
}
