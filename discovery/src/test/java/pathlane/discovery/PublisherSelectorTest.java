package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pathlane.discovery.PublisherSelector.Connect;
import pathlane.discovery.PublisherSelector.Wait;
import pathlane.discovery.WatchTerms.PublisherAddress;

class PublisherSelectorTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration BACKOFF = Duration.ofMillis(200);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);
    private static final Duration RETURN_WITHIN = Duration.ofSeconds(60);
    private static final int PER_ZONE = 4;

    /** Four publishers in each of two zones of one region, and four in another region. */
    private static PublisherSelector selector(String client) {
        List<PublisherAddress> publishers = new ArrayList<>();
        for (int i = 0; i < PER_ZONE; i++) {
            publishers.add(address("far" + i, "c", "west"));
            publishers.add(address("near" + i, "b", "east"));
            publishers.add(address("own" + i, "a", "east"));
        }
        return new PublisherSelector(
                new WatchTerms(client, "a", "east", publishers, BACKOFF, MAX_BACKOFF, Duration.ofSeconds(3),
                        RETURN_WITHIN),
                new SplittableRandom(client.hashCode()));
    }

    private static PublisherAddress address(String name, String zone, String region) {
        return new PublisherAddress(name, new InetSocketAddress("127.0.0.1", 1), zone, region);
    }

    private static String name(PublisherSelector.Choice choice) {
        return assertInstanceOf(Connect.class, choice).publisher().name();
    }

    @Test
    void ownZoneComesFirstThenTheRegionThenOthers() {
        List<String> order = selector("client").order().stream().map(PublisherAddress::name).toList();
        assertTrue(order.subList(0, 4).stream().allMatch(name -> name.startsWith("own")), order::toString);
        assertTrue(order.subList(4, 8).stream().allMatch(name -> name.startsWith("near")), order::toString);
        assertTrue(order.subList(8, 12).stream().allMatch(name -> name.startsWith("far")), order::toString);
    }

    @Test
    void clientsSpreadEvenlyOverAZoneAlsoWhenAPublisherIsLost() {
        Map<String, Integer> first = new HashMap<>();
        Map<String, Integer> second = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            List<PublisherAddress> order = selector("client" + i).order();
            first.merge(order.get(0).name(), 1, Integer::sum);
            if (order.get(0).name().equals("own0")) {
                second.merge(order.get(1).name(), 1, Integer::sum);
            }
        }
        assertTrue(first.values().stream().allMatch(count -> count > 900 && count < 1_100), first::toString);
        assertTrue(second.size() == 3 && second.values().stream().allMatch(count -> count > 270 && count < 400),
                second::toString);
    }

    @Test
    void aFailedPublisherBacksOffExponentiallyWhileAnotherIsTriedSoon() {
        PublisherSelector selector = selector("client");
        String preferred = name(selector.next(START));
        Duration before = Duration.ZERO;
        for (int failures = 0; failures < 9; failures++) {
            selector.failed(preferred, START);
            Wait wait = assertInstanceOf(Wait.class, selector.next(START));
            assertTrue(wait.delay().compareTo(BACKOFF.dividedBy(2)) < 0, wait::toString);
            assertNotEquals(preferred, name(selector.next(START.plus(wait.delay()))));
            Duration maxBackoff = Duration.ofMillis(Math.min(MAX_BACKOFF.toMillis(), BACKOFF.toMillis() << failures));
            assertEquals(preferred, name(selector.next(START.plus(maxBackoff))));
            Duration backoff = timeUntilSelected(selector, preferred);
            assertTrue(backoff.compareTo(before) > 0 || backoff.compareTo(MAX_BACKOFF.dividedBy(2)) >= 0, backoff::toString);
            before = maxBackoff.dividedBy(2).minusMillis(1);
        }
    }

    private static Duration timeUntilSelected(PublisherSelector selector, String publisher) {
        Duration after = BACKOFF.dividedBy(2);
        while (!name(selector.next(START.plus(after))).equals(publisher)) {
            after = after.plusMillis(1);
        }
        return after;
    }

    @Test
    void aRejectedClientStaysInItsZoneIfTheRetryDelayIsShort() {
        PublisherSelector selector = selector("client");
        for (PublisherAddress own : selector.order().subList(0, PER_ZONE)) {
            selector.refused(own.name(), Duration.ofSeconds(1), START);
        }
        Instant now = START.plus(BACKOFF);
        Duration wait = assertInstanceOf(Wait.class, selector.next(now)).delay();
        assertTrue(wait.compareTo(Duration.ofMillis(800)) >= 0, wait::toString);
        assertTrue(name(selector.next(now.plus(wait))).startsWith("own"));
    }

    @Test
    void aRejectedClientLeavesItsZoneIfTheRetryDelayIsLong() {
        PublisherSelector selector = selector("client");
        for (PublisherAddress own : selector.order().subList(0, PER_ZONE)) {
            selector.refused(own.name(), Duration.ofSeconds(20), START);
        }
        assertTrue(name(selector.next(START.plus(BACKOFF))).startsWith("near"));
    }

    @Test
    void aReliablePublisherIsLeftOnlyForOneThatComesBeforeIt() {
        PublisherSelector selector = selector("client");
        List<PublisherAddress> order = selector.order();
        assertEquals(Optional.empty(), selector.better(order.get(0).name(), true, START));
        assertEquals(Optional.of(order.get(0)), selector.better(order.get(2).name(), true, START));
        assertEquals(Optional.of(order.get(1)), selector.better(order.get(0).name(), false, START));
        selector.refused(order.get(0).name(), Duration.ofSeconds(1), START);
        assertEquals(Optional.of(order.get(1)), selector.better(order.get(2).name(), true, START));
    }

    @Test
    void returnDelaysAreSpreadEvenlyOverTheInterval() {
        int[] tenths = new int[10];
        for (int i = 0; i < 1_000; i++) {
            tenths[(int) (selector("client" + i).returnDelay().toMillis() * 10 / RETURN_WITHIN.toMillis())]++;
        }
        for (int count : tenths) {
            assertTrue(count > 60 && count < 140, () -> List.of(tenths).toString());
        }
    }
}
