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
 * Which publisher a watch client dials, and when. Each client has an order of its own by rendezvous hashing (Thaler and
 * Ravishankar, 1998), first over the publishers of its zone, then of its region, then of all others: the clients of a
 * publisher that is lost spread evenly over those that are left, and no other client moves.
 */
public final class PublisherSelector {

    /** What to do next. */
    public sealed interface Choice {}

    /** Dial this publisher now. */
    public record Connect(PublisherAddress publisher) implements Choice {}

    /** Ask again after this time. */
    public record Wait(Duration delay) implements Choice {}

    /**
     * How long a nearer publisher that refused for the moment is waited for, rather than that a farther one is dialled: some
     * 900 clients of one relay, admitted at its usual rate, are back within it.
     */
    private static final Duration MAX_WAIT_FOR_NEARER = Duration.ofSeconds(8);
    /** Doublings of the backoff after which the most is reached, whatever the terms are. */
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

    /** @throws IllegalArgumentException where there is no publisher, or two have one name */
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

    /** All publishers, the preferred one first. */
    public List<PublisherAddress> order() {
        return order.stream().map(candidate -> candidate.publisher).toList();
    }

    /** The first publisher in the order that may be dialled, or how long to wait for one. */
    public Choice next(Instant now) {
        if (now.isBefore(nextAttemptAt)) {
            return waitUntil(nextAttemptAt, now);
        }
        Optional<Candidate> available = order.stream().filter(candidate -> candidate.isAvailable(now)).findFirst();
        if (available.isEmpty()) {
            return waitUntil(earliest(order), now);
        }
        List<Candidate> nearer = order.stream().filter(candidate -> isWorthWaitingFor(candidate, available.get(), now)).toList();
        return nearer.isEmpty() ? new Connect(available.get().publisher) : waitUntil(earliest(nearer), now);
    }

    /** Guards farther zones against the load of a nearer one whose publishers take watches at their rate. */
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
     * The publisher to move to from the current one: one that comes before it in the order or, where the current one can't
     * be relied on, any other. Each call counts as a try; of several, that which was tried longest ago is named.
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

    /** Whether no publisher comes before this one. */
    public boolean isPreferred(String name) {
        return order.get(0).publisher.name().equals(name);
    }

    /** A publisher accepted the watch. */
    public void accepted(String name) {
        Candidate candidate = byName.get(name);
        candidate.failures = 0;
        candidate.isRefusing = false;
        candidate.notBefore = Instant.MIN;
    }

    /** A publisher could not be reached, was lost, or can't be used. It is left alone for a time that doubles. */
    public void failed(String name, Instant now) {
        Candidate candidate = byName.get(name);
        Duration backoff = terms.backoffFirst().multipliedBy(1L << Math.min(candidate.failures, MAX_DOUBLINGS));
        candidate.failures++;
        candidate.isRefusing = false;
        candidate.notBefore = now.plus(withJitter(shorter(backoff, terms.backoffMost())));
        delayNextAttempt(now);
    }

    /** A publisher takes no more watches for so long. */
    public void refused(String name, Duration comeBackAfter, Instant now) {
        Candidate candidate = byName.get(name);
        candidate.isRefusing = true;
        // Later by up to half, so that those who were refused together do not come back together.
        candidate.notBefore = now.plus(comeBackAfter).plus(randomUpTo(comeBackAfter.dividedBy(2)));
        delayNextAttempt(now);
    }

    /**
     * Guards the next publishers against all clients of one that is lost at the same moment. Shorter than any backoff, so
     * that another publisher is dialled before the same one, where there is another.
     */
    private void delayNextAttempt(Instant now) {
        nextAttemptAt = now.plus(randomUpTo(terms.backoffFirst().dividedBy(2)));
    }

    /** When to look for a better publisher again: a random time within {@link WatchTerms#returnWithin}. */
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
