package pathlane.discovery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.standin.VirtualTime;

/** A publisher of a source's catalogue in virtual time, with subscribers that record what they receive. */
final class PublisherHarness {

    static final PublisherTerms TERMS = new PublisherTerms(3, 10, 3, 4_000, 1_500, 100, Duration.ofSeconds(1),
            Duration.ofSeconds(5));

    final VirtualTime time = new VirtualTime();
    final Catalogue catalogue = new Catalogue(TERMS.historyChanges());
    final Publisher publisher = new Publisher(catalogue, TERMS, new StallableScheduler(), new Random(1));
    private Instant stalledUntil = Instant.MIN;

    /** Stalls the publisher's process for this time; timers due meanwhile run afterwards. */
    void stall(Duration span) {
        stalledUntil = time.now().plus(span);
        time.advance(span);
    }

    /** The publisher's scheduler, which delays timers during a stall. */
    private final class StallableScheduler implements Scheduler {
        @Override
        public Instant now() {
            return time.now();
        }

        @Override
        public Duration lag() {
            return Duration.ZERO;
        }

        @Override
        public Timer after(Duration delay, Runnable task) {
            return time.after(delay, () -> {
                if (time.now().isBefore(stalledUntil)) {
                    after(Duration.between(time.now(), stalledUntil), task);
                } else {
                    task.run();
                }
            });
        }
    }

    /** A publisher with a complete catalogue of these services, with three endpoints each. */
    static PublisherHarness complete(String... services) {
        PublisherHarness harness = new PublisherHarness();
        harness.catalogue.beginEpoch(1);
        for (String service : services) {
            harness.catalogue.replace(service, Samples.endpoints(1, 3), "");
        }
        harness.catalogue.complete();
        return harness;
    }

    Subscriber subscriber(String name) {
        return new Subscriber(name);
    }

    /** Runs the tasks scheduled for the end of this event loop turn. */
    void endTurn() {
        time.advance(Duration.ZERO);
    }

    Interest held(String service) {
        ServiceState state = catalogue.state(service).orElseThrow();
        return new Interest(service, state.revision(), state.digest());
    }

    static Interest interestWithoutState(String service) {
        return new Interest(service, Revision.NONE, 0);
    }

    /** The subscriber's end of a connection to the publisher. */
    final class Subscriber implements SubscriberPort {
        private final String name;
        private final Publisher.Session session;
        final List<WatchMessage> messages = new ArrayList<>();
        final List<byte[]> bytes = new ArrayList<>();
        boolean acknowledges;
        boolean isBlocked;
        boolean closesWithinSend;
        CloseReason closeReason;

        private Subscriber(String name) {
            this.name = name;
            this.session = publisher.open(this);
        }

        /** Subscribes to services without any state held, and ends the turn. */
        Subscriber watch(String... services) {
            return subscribe(false,
                    Arrays.stream(services).map(PublisherHarness::interestWithoutState).toArray(Interest[]::new));
        }

        Subscriber subscribe(boolean everything, Interest... interests) {
            sendToPublisher(new Subscribe(everything, true, List.of(interests), List.of()));
            endTurn();
            return this;
        }

        /** Acknowledges all earlier and later messages. */
        Subscriber acknowledging() {
            acknowledges = true;
            messages.forEach(this::acknowledge);
            endTurn();
            return this;
        }

        void sendToPublisher(WatchMessage message) {
            session.received(WatchCodec.bytes(message));
        }

        int watchedServices() {
            return ((SubscriberSession) session).services().size();
        }

        void disconnect() {
            session.closed();
        }

        private void acknowledge(WatchMessage message) {
            if (message instanceof WatchMessage.Update update) {
                time.after(Duration.ZERO,
                        () -> sendToPublisher(new WatchMessage.Acknowledge(update.batch(), Revision.NONE)));
            } else if (message instanceof WatchMessage.Bookmark bookmark) {
                time.after(Duration.ZERO, () -> sendToPublisher(new WatchMessage.Acknowledge(0, bookmark.revision())));
            }
        }

        <T extends WatchMessage> List<T> all(Class<T> kind) {
            return messages.stream().filter(kind::isInstance).map(kind::cast).toList();
        }

        /** All changes received, in order. */
        List<ServiceChange> changes() {
            return all(WatchMessage.Update.class).stream().flatMap(update -> update.changes().stream()).toList();
        }

        /** Clears the recorded messages. */
        void clear() {
            messages.clear();
            bytes.clear();
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void send(byte[] message) {
            bytes.add(message);
            messages.add(WatchCodec.message(message));
            if (closesWithinSend) {
                session.closed();
            } else if (acknowledges) {
                acknowledge(messages.get(messages.size() - 1));
            }
        }

        @Override
        public boolean isBlocked() {
            return isBlocked;
        }

        @Override
        public void close(CloseReason reason) {
            closeReason = reason;
            session.closed();
        }
    }
}
