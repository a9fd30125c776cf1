package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pathlane.discovery.InForceTracker.InForce;
import pathlane.discovery.PublisherHarness.Subscriber;
import pathlane.discovery.WatchMessage.Acknowledge;

/**
 * Tests that progress reports are aggregated within their bounds and that the source measures when a change is applied.
 */
class ProgressTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static Revision revision(long number) {
        return new Revision(1, number);
    }

    private static ProgressReport report(long... numbers) {
        return new ProgressReport(Arrays.stream(numbers)
                .mapToObj(number -> new ProgressReport.Level(revision(number), 1)).toList(), List.of());
    }

    @Test
    void aReportIsBoundedAndNeverOverstatesAControllersRevision() {
        ProgressTable table = new ProgressTable();
        PublisherHarness harness = new PublisherHarness();
        for (int i = 0; i < 40; i++) {
            SubscriberSession session = (SubscriberSession) harness.publisher.open(harness.subscriber("c" + i));
            table.putController(session, "c" + i, revision(i < 30 ? i : 29));
        }
        ProgressReport report = table.report(revision(29));
        assertEquals(ProgressReport.MAX_LEVELS, report.levels().size());
        assertEquals(new ProgressReport.Level(revision(0), 1), report.levels().get(0), "the lowest level is exact");
        assertEquals(40, report.levels().stream().mapToLong(ProgressReport.Level::controllers).sum());
        assertEquals(new ProgressReport.Level(revision(29), 11), report.levels().get(15), "large levels are not merged");
        assertEquals(List.of("c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"),
                report.slowest().stream().map(ProgressReport.SlowController::name).toList());
    }

    @Test
    void aRevisionIsInForceEverywhereWhenTheSlowestControllerHasAppliedIt() {
        InForceTracker tracker = new InForceTracker();
        tracker.recordCommit(revision(1), START);
        tracker.recordCommit(revision(2), START.plusMillis(100));
        assertEquals(List.of(), tracker.progress(report(0, 2), START.plusMillis(200)));
        assertEquals(List.of(new InForce(revision(1), Duration.ofMillis(300))),
                tracker.progress(report(1, 2), START.plusMillis(300)));
        assertEquals(List.of(new InForce(revision(2), Duration.ofMillis(900))),
                tracker.progress(report(2), START.plusMillis(1_000)));
        assertFalse(tracker.isWaiting());
        assertEquals(Optional.of(Duration.ofMillis(300)), tracker.percentile(50));
        assertEquals(Optional.of(Duration.ofMillis(900)), tracker.percentile(99));
    }

    @Test
    void theTrackerIsBoundedAndMeasuresNothingWithoutControllers() {
        InForceTracker tracker = new InForceTracker();
        for (int i = 0; i < 20_000; i++) {
            tracker.recordCommit(revision(i), START);
        }
        assertEquals(16_384, tracker.waiting());
        assertEquals(20_000 - 16_384, tracker.givenUp());
        assertEquals(List.of(), tracker.progress(report(), START.plusSeconds(9)));
        assertFalse(tracker.isWaiting());
        assertEquals(Optional.empty(), tracker.percentile(50));
    }

    @Test
    void theSourceMeasuresTheTimeToTheLastController() {
        PublisherHarness harness = PublisherHarness.complete();
        Source source = new Source(1, PublisherHarness.TERMS, null, harness.time, new Random(1));
        source.catalogue().complete();
        Subscriber[] controllers = {harness.subscriber("c1"), harness.subscriber("c2")};
        Publisher.Session[] sessions = new Publisher.Session[2];
        for (int i = 0; i < 2; i++) {
            sessions[i] = source.publisher().open(controllers[i]);
            sessions[i].received(WatchCodec.bytes(new WatchMessage.Subscribe(true, true, List.of(), List.of())));
        }
        Revision revision = source.catalogue().replace("a", Samples.endpoints(1, 1), "");
        byte[] acknowledge = WatchCodec.bytes(new Acknowledge(1, revision));
        harness.time.advance(Duration.ofMillis(10));
        sessions[0].received(acknowledge);
        harness.time.advance(Duration.ofMillis(440));
        assertTrue(source.inForce().isWaiting());
        sessions[1].received(acknowledge);
        harness.time.advance(Duration.ofMillis(100));
        assertEquals(Optional.of(Duration.ofMillis(500)), source.inForce().percentile(100));
    }
}
