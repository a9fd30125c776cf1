package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.discovery.PublisherHarness.Subscriber;
import pathlane.discovery.WatchMessage.Accepted;
import pathlane.discovery.WatchMessage.Refused;

class PublisherAdmissionTest {

    @Test
    void watchesBeyondTheRateAreRejectedWithSpacedRetryDelays() {
        PublisherHarness harness = PublisherHarness.complete("a");
        for (int i = 0; i < 3; i++) {
            harness.subscriber("c" + i).watch("a").disconnect();
        }
        Subscriber fourth = harness.subscriber("c4").watch("a");
        Subscriber fifth = harness.subscriber("c5").watch("a");
        Duration first = fourth.all(Refused.class).get(0).retryAfter();
        Duration second = fifth.all(Refused.class).get(0).retryAfter();
        assertTrue(first.toMillis() >= 100 && second.toMillis() >= 200 && second.toMillis() <= 250, first + " " + second);
        assertEquals(CloseReason.LIMIT_REACHED, fourth.closeReason);
        harness.time.advance(first);
        assertEquals(1, harness.subscriber("c4").watch("a").all(Accepted.class).size());
        assertEquals(2, harness.publisher.counters().refused());
    }

    @Test
    void subscribersBeyondTheLimitAreRejectedWithALongerRetryDelay() {
        PublisherHarness harness = PublisherHarness.complete("a");
        for (int i = 0; i < 3; i++) {
            harness.subscriber("c" + i).watch("a").acknowledging();
        }
        harness.time.advance(Duration.ofSeconds(3));
        Subscriber fourth = harness.subscriber("c3").watch("a");
        assertTrue(fourth.all(Refused.class).get(0).retryAfter().toSeconds() >= 10);
        assertEquals(3, harness.publisher.counters().subscribers());
    }

    @Test
    void subscribersThatDoNotAcknowledgeInTimeAreDisconnected() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber silent = harness.subscriber("c1").watch("a");
        Subscriber alive = harness.subscriber("c2").watch("a").acknowledging();
        Subscriber withoutSubscription = harness.subscriber("c3");
        harness.time.advance(Duration.ofMillis(4_900));
        assertNull(silent.closeReason);
        harness.time.advance(Duration.ofMillis(300));
        assertEquals(CloseReason.SILENT, silent.closeReason);
        assertEquals(CloseReason.UNFINISHED, withoutSubscription.closeReason);
        assertNull(alive.closeReason);
        assertEquals(1, harness.publisher.counters().unresponsive());
        alive.disconnect();
        harness.time.advance(Duration.ofSeconds(1));
        assertEquals(0, harness.time.scheduledTasks(), "no timer without a session");
    }

    @Test
    void aStallOfThePublisherIsExcludedFromSubscriberTimeouts() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c1").watch("a");
        Subscriber withoutSubscription = harness.subscriber("c2");
        harness.time.advance(Duration.ofSeconds(1));
        harness.stall(Duration.ofSeconds(20));
        harness.time.advance(Duration.ofMillis(50));
        assertNull(subscriber.closeReason, "acknowledgements that arrived during the stall are read only now");
        assertNull(withoutSubscription.closeReason);
        subscriber.acknowledging();
        harness.time.advance(Duration.ofSeconds(4));
        assertNull(subscriber.closeReason);
        assertEquals(CloseReason.UNFINISHED, withoutSubscription.closeReason);
    }
}
