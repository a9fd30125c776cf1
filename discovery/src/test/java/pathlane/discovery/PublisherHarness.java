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

/** A publisher above a source's catalogue in virtual time, and subscribers that keep what they are sent. */
final class PublisherHarness {

    static final PublisherTerms TERMS = new PublisherTerms(3, 10, 3, 4_000, 1_500, 100, Duration.ofSeconds(1),
            Duration.ofSeconds(5));

    final VirtualTime time = new VirtualTime();
    final Catalogue catalogue = new Catalogue(TERMS.historyChanges());
    final Publisher publisher = new Publisher(catalogue, TERMS, new PublishersTime(), new Random(1));
    private Instant stalledUntil = Instant.MIN;

    /** The publisher's process does nothing for so long, and then what was due meanwhile. */
    void stall(Duration span) {
        stalledUntil = time.now().plus(span);
        time.pass(span);
    }

    /** Time as the publisher's process sees it. */
    private final class PublishersTime implements Scheduler {
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

    /** A complete catalogue of services with these names, of three endpoints each. */
    static PublisherHarness complete(String... services) {
        PublisherHarness harness = new PublisherHarness();
        harness.catalogue.begin(1);
        for (String service : services) {
            harness.catalogue.replace(service, Samples.endpoints(1, 3), "");
        }
        harness.catalogue.complete();
        return harness;
    }

    Subscriber subscriber(String name) {
        return new Subscriber(name);
    }

    /** Lets the end of the turn come. */
    void endTurn() {
        time.pass(Duration.ZERO);
    }

    Interest held(String service) {
        ServiceState state = catalogue.state(service).orElseThrow();
        return new Interest(service, state.revision(), state.digest());
    }

    static Interest nothingOf(String service) {
        return new Interest(service, Revision.NONE, 0);
    }

    /** A connection to the publisher, from the subscriber's end. */
    final class Subscriber implements SubscriberPort {
        private final String name;
        private final Publisher.Session session;
        final List<WatchMessage> messages = new ArrayList<>();
        final List<byte[]> bytes = new ArrayList<>();
        boolean acknowledges;
        boolean stuck;
        boolean closesWithinSend;
        CloseReason end;

        private Subscriber(String name) {
            this.name = name;
            this.session = publisher.open(this);
        }

        /** Subscribes to services of which nothing is held, and lets the turn end. */
        Subscriber watch(String... services) {
            return subscribe(false, Arrays.stream(services).map(PublisherHarness::nothingOf).toArray(Interest[]::new));
        }

        Subscriber subscribe(boolean everything, Interest... interests) {
            say(new Subscribe(everything, true, List.of(interests), List.of()));
            endTurn();
            return this;
        }

        /** Acknowledges all that came and all that will come. */
        Subscriber acknowledging() {
            acknowledges = true;
            messages.forEach(this::acknowledge);
            endTurn();
            return this;
        }

        void say(WatchMessage message) {
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
                time.after(Duration.ZERO, () -> say(new WatchMessage.Acknowledge(update.batch(), Revision.NONE)));
            } else if (message instanceof WatchMessage.Bookmark bookmark) {
                time.after(Duration.ZERO, () -> say(new WatchMessage.Acknowledge(0, bookmark.revision())));
            }
        }

        <T extends WatchMessage> List<T> all(Class<T> kind) {
            return messages.stream().filter(kind::isInstance).map(kind::cast).toList();
        }

        /** All changes that came, in their order. */
        List<ServiceChange> changes() {
            return all(WatchMessage.Update.class).stream().flatMap(update -> update.changes().stream()).toList();
        }

        /** Forgets what came so far. */
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
            return stuck;
        }

        @Override
        public void close(CloseReason reason) {
            end = reason;
            session.closed();
        }
    }
}
