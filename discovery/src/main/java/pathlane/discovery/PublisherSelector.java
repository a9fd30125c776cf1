package pathlane.discovery;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pathlane.discovery.WatchTerms.PublisherAddress;

/**
 * Selects the publisher that a watch client connects to, and when. Each client has its own order of preference by
 * rendezvous hashing (Thaler and Ravishankar, 1998): first the publishers of its zone, then of its region, then all
 * others. If a publisher is lost, its clients spread evenly over the remaining ones, and no other client moves.
 */
public final class PublisherSelector {

    /** The next action of the client. */
    public sealed interface Choice {}

    /** Connect to this publisher now. */
    public record Connect(PublisherAddress publisher) implements Choice {}

    /** Call {@link #next} again after this delay. */
    public record Wait(Duration delay) implements Choice {}

    /**
     * How long a client waits for a nearer publisher that rejected it temporarily, rather than connecting to a farther
     * one. About 900 clients of one relay, admitted at its default rate, are accepted again within this time.
     */
    private static final Duration MAX_WAIT_FOR_NEARER = Duration.ofSeconds(8);
    /** The number of doublings of the backoff is limited to this, whatever the settings, to avoid overflow. */
    private static final int MAX_DOUBLINGS = 20;
    private static final Duration MIN_WAIT = Duration.ofMillis(1);

    private enum Distance { ZONE, REGION, ELSEWHERE }

    private final WatchTerms terms;
    private final RandomGenerator random;
    private final List<Candidate> order = new ArrayList<>();
    private final Map<String, Candidate> byName = new HashMap<>();
    private Instant nextAttemptAt = Instant.MIN;

    private static final class Candidate {
        final PublisherAddress publisher;
        final Distance distance;
        int failures;
        Instant notBefore = Instant.MIN;
        boolean isRefusing;
        Instant lastTriedAt = Instant.MIN;

        Candidate(PublisherAddress publisher, Distance distance) {
            this.publisher = publisher;
            this.distance = distance;
        }

        boolean isAvailable(Instant now) {
            return !now.isBefore(notBefore);
        }
    }

    /**
     * Creates a selector.
     *
     * @throws IllegalArgumentException if there is no publisher, or two have the same name
     */
    public PublisherSelector(WatchTerms terms, RandomGenerator random) {
        this.terms = terms;
        this.random = random;
        if (terms.publishers().isEmpty()) {
            throw new IllegalArgumentException("a watch needs at least one publisher");
        }
        for (PublisherAddress publisher : terms.publishers()) {
            Candidate candidate = new Candidate(publisher, distance(publisher));
            order.add(candidate);
            if (byName.put(publisher.name(), candidate) != null) {
                throw new IllegalArgumentException("two publishers are named '" + publisher.name() + "'");
            }
        }
        order.sort(Comparator.comparing((Candidate candidate) -> candidate.distance)
                .thenComparing(candidate -> score(candidate.publisher), Comparator.reverseOrder()));
    }

    private Distance distance(PublisherAddress publisher) {
        if (!publisher.region().equals(terms.region())) {
            return Distance.ELSEWHERE;
        }
        return publisher.zone().equals(terms.zone()) ? Distance.ZONE : Distance.REGION;
    }

    private long score(PublisherAddress publisher) {
        return Hashing.komihash5_0().hashStream().putString(terms.name()).putString(publisher.name()).getAsLong();
    }

    /** All publishers in order of preference. */
    public List<PublisherAddress> order() {
        return order.stream().map(candidate -> candidate.publisher).toList();
    }

    /** The first publisher in the order that is available, or how long to wait for one. */
    public Choice next(Instant now) {
        if (now.isBefore(nextAttemptAt)) {
            return waitUntil(nextAttemptAt, now);
        }
        Optional<Candidate> available = order.stream().filter(candidate -> candidate.isAvailable(now)).findFirst();
        if (available.isEmpty()) {
            return waitUntil(earliest(order), now);
        }
        List<Candidate> nearer =
                order.stream().filter(candidate -> isWorthWaitingFor(candidate, available.get(), now)).toList();
        return nearer.isEmpty() ? new Connect(available.get().publisher) : waitUntil(earliest(nearer), now);
    }

    /** Protects farther zones from the load of a nearer zone whose publishers accept watches at a limited rate. */
    private static boolean isWorthWaitingFor(Candidate candidate, Candidate available, Instant now) {
        return candidate.isRefusing && candidate.distance.compareTo(available.distance) < 0
                && candidate.notBefore.isBefore(now.plus(MAX_WAIT_FOR_NEARER));
    }

    private static Instant earliest(Collection<Candidate> candidates) {
        return candidates.stream().map(candidate -> candidate.notBefore).min(Comparator.naturalOrder()).orElseThrow();
    }

    private static Wait waitUntil(Instant until, Instant now) {
        Duration delay = Duration.between(now, until);
        return new Wait(delay.compareTo(MIN_WAIT) < 0 ? MIN_WAIT : delay);
    }

    /**
     * The publisher to move to from the current one: one that precedes it in the order or, if the current one is not
     * reliable, any other. Each call counts as an attempt; of several publishers, the least recently tried is returned.
     */
    public Optional<PublisherAddress> better(String current, boolean isCurrentReliable, Instant now) {
        int position = order.indexOf(byName.get(current));
        Optional<Candidate> better = order.subList(0, isCurrentReliable ? position : order.size()).stream()
                .filter(candidate -> !candidate.publisher.name().equals(current))
                .filter(candidate -> !candidate.isRefusing || candidate.isAvailable(now))
                .min(Comparator.comparing(candidate -> candidate.lastTriedAt));
        better.ifPresent(candidate -> candidate.lastTriedAt = now);
        return better.map(candidate -> candidate.publisher);
    }

    /** Whether this is the first publisher in the order. */
    public boolean isPreferred(String name) {
        return order.get(0).publisher.name().equals(name);
    }

    /** Records that a publisher accepted the watch. */
    public void accepted(String name) {
        Candidate candidate = byName.get(name);
        candidate.failures = 0;
        candidate.isRefusing = false;
        candidate.notBefore = Instant.MIN;
    }

    /**
     * Records that a publisher could not be reached, was lost or is unusable. It is not tried again for a backoff that
     * doubles with each failure.
     */
    public void failed(String name, Instant now) {
        Candidate candidate = byName.get(name);
        Duration backoff = terms.initialBackoff().multipliedBy(1L << Math.min(candidate.failures, MAX_DOUBLINGS));
        candidate.failures++;
        candidate.isRefusing = false;
        candidate.notBefore = now.plus(withJitter(shorter(backoff, terms.maxBackoff())));
        delayNextAttempt(now);
    }

    /** Records that a publisher rejected the watch, with its retry delay. */
    public void refused(String name, Duration comeBackAfter, Instant now) {
        Candidate candidate = byName.get(name);
        candidate.isRefusing = true;
        // Delayed by up to half more, so that clients rejected together do not retry together.
        candidate.notBefore = now.plus(comeBackAfter).plus(randomUpTo(comeBackAfter.dividedBy(2)));
        delayNextAttempt(now);
    }

    /**
     * Protects the other publishers when all clients of a lost one reconnect at the same moment. Shorter than any backoff,
     * so that another publisher, if there is one, is tried before the same one.
     */
    private void delayNextAttempt(Instant now) {
        nextAttemptAt = now.plus(randomUpTo(terms.initialBackoff().dividedBy(2)));
    }

    /** The delay until the next attempt to find a better publisher: random within {@link WatchTerms#returnWithin}. */
    public Duration returnDelay() {
        Duration delay = randomUpTo(terms.returnWithin());
        return delay.compareTo(MIN_WAIT) < 0 ? MIN_WAIT : delay;
    }

    private Duration withJitter(Duration backoff) {
        Duration half = backoff.dividedBy(2);
        return half.plus(randomUpTo(backoff.minus(half)));
    }

    private Duration randomUpTo(Duration max) {
        return max.isZero() || max.isNegative() ? Duration.ZERO : Duration.ofNanos(random.nextLong(max.toNanos()));
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}
