package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.discovery.PublisherHarness.interestWithoutState;
import static pathlane.discovery.Samples.endpoint;
import static pathlane.discovery.Samples.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pathlane.decision.ServerStatus;
import pathlane.discovery.PublisherHarness.Subscriber;
import pathlane.discovery.ServiceChange.Absent;
import pathlane.discovery.ServiceChange.Delta;
import pathlane.discovery.ServiceChange.Snapshot;
import pathlane.discovery.WatchMessage.Accepted;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Bookmark;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Progress;
import pathlane.discovery.WatchMessage.Status;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.discovery.WatchMessage.Update;
import pathlane.wire.ProtocolException;

class PublisherTest {

    private static final String BIG = "x".repeat(1_000);

    @Test
    void aWatchReceivesAcceptanceThenContentThenABookmark() {
        PublisherHarness harness = PublisherHarness.complete("a", "b");
        Subscriber subscriber = harness.subscriber("c").watch("a").acknowledging();
        harness.time.advance(Duration.ofMillis(200));
        assertInstanceOf(Accepted.class, subscriber.messages.get(0));
        assertEquals(List.of(new Snapshot(harness.catalogue.state("a").orElseThrow())), subscriber.changes());
        assertEquals(List.of(new Bookmark(harness.catalogue.revision())), subscriber.all(Bookmark.class));
    }

    @Test
    void aChangeReachesOnlyTheSubscribersThatWatchItsService() {
        PublisherHarness harness = PublisherHarness.complete("a", "b");
        Subscriber one = harness.subscriber("c1").watch("a").acknowledging();
        Subscriber other = harness.subscriber("c2").watch("b").acknowledging();
        Subscriber relay = harness.subscriber("r").subscribe(true).acknowledging();
        List.of(one, other, relay).forEach(Subscriber::clear);
        Revision before = harness.catalogue.state("a").orElseThrow().revision();
        harness.catalogue.update("a", List.of(endpoint(4)), List.of(1L), Optional.empty());
        harness.endTurn();
        ServiceState now = harness.catalogue.state("a").orElseThrow();
        List<ServiceChange> delta = List.of(new Delta("a", before, now.revision(), now.digest(), List.of(endpoint(4)),
                List.of(1L), Optional.empty()));
        assertEquals(delta, one.changes());
        assertEquals(delta, relay.changes());
        assertEquals(List.of(), other.messages);
    }

    @Test
    void snapshotsAndDeltasAreEncodedOnceForAllSubscribersWithTheSameVersion() {
        PublisherHarness harness = PublisherHarness.complete("a");
        for (int i = 0; i < 3; i++) {
            harness.subscriber("c" + i).watch("a").acknowledging();
        }
        harness.catalogue.update("a", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.endTurn();
        PublisherCounters counters = harness.publisher.counters();
        assertEquals(List.of(3L, 1L, 3L, 1L), List.of(counters.snapshotsSent(), counters.snapshotsEncoded(),
                counters.deltasSent(), counters.deltasEncoded()));
    }

    @Test
    void oneBookmarkASecondIsEncodedForAllSessions() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber one = harness.subscriber("c1").watch("a").acknowledging();
        Subscriber other = harness.subscriber("c2").watch("a").acknowledging();
        harness.time.advance(Duration.ofMillis(200));
        one.clear();
        other.clear();
        harness.time.advance(Duration.ofSeconds(10));
        assertEquals(one.messages, one.all(Bookmark.class));
        assertTrue(one.bytes.size() >= 10 && one.bytes.size() <= 11, one.bytes.size() + " bookmarks in 10 s");
        assertSame(one.bytes.get(0), other.bytes.get(0));
    }

    @Test
    void removalsAndDrainsAreSentFirst() {
        PublisherHarness harness = PublisherHarness.complete("a", "b", "c", "d");
        Subscriber subscriber = harness.subscriber("c").watch("a", "b", "c", "d").acknowledging();
        subscriber.clear();
        harness.catalogue.update("a", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.catalogue.update("b", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.catalogue.update("c", List.of(endpoint(1, ServerStatus.DRAINING)), List.of(), Optional.empty());
        harness.catalogue.update("d", List.of(), List.of(1L), Optional.empty());
        harness.catalogue.update("b", List.of(), List.of(2L), Optional.empty());
        harness.endTurn();
        assertEquals(List.of("c", "d", "b", "a"), subscriber.changes().stream().map(ServiceChange::service).toList());
    }

    @Test
    void aResumedWatchReceivesRemovalsFirst() {
        PublisherHarness harness = PublisherHarness.complete("a", "b", "c");
        Interest a = harness.held("a");
        Interest c = harness.held("c");
        harness.catalogue.update("a", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.catalogue.update("c", List.of(), List.of(1L), Optional.empty());
        Subscriber subscriber = harness.subscriber("c").subscribe(false, a, interestWithoutState("b"), c);
        assertEquals(List.of("c", "a", "b"), subscriber.changes().stream().map(ServiceChange::service).toList());
    }

    @Test
    void unacknowledgedBytesAreBoundedAndFurtherChangesAreCoalesced() {
        PublisherHarness harness = PublisherHarness.complete();
        for (int i = 0; i < 10; i++) {
            harness.catalogue.replace("s" + i, endpoints(1, 2), BIG);
        }
        Subscriber slow = harness.subscriber("c").subscribe(true);
        int sent = slow.changes().size();
        assertEquals(3, sent, "of 1 KB each, with at most 4,000 bytes unacknowledged");
        for (int i = 0; i < 50; i++) {
            harness.catalogue.update("s0", List.of(), List.of(), Optional.of(BIG + i));
            harness.endTurn();
        }
        assertEquals(sent, slow.changes().size());
        assertEquals(49, harness.publisher.counters().coalesced());
        harness.time.advance(Duration.ofMillis(1_500));
        assertEquals(List.of(), slow.all(Bookmark.class), "some changes have not been sent yet");
        slow.acknowledging();
        harness.time.advance(Duration.ofMillis(500));
        assertEquals(11, slow.changes().size());
        assertEquals(List.of(new Bookmark(harness.catalogue.revision())), slow.all(Bookmark.class));
        assertTrue(slow.all(Update.class).stream().allMatch(update -> WatchCodec.bytes(update).length < 1_600));
    }

    @Test
    void aChangeLargerThanTheWindowIsSentAlone() {
        PublisherHarness harness = PublisherHarness.complete("a");
        harness.catalogue.replace("b", endpoints(1, 2), "y".repeat(10_000));
        Subscriber subscriber = harness.subscriber("c").watch("a", "b");
        assertEquals(1, subscriber.changes().size());
        subscriber.acknowledging();
        assertEquals(2, subscriber.changes().size());
    }

    @Test
    void nothingIsSentWhileTheConnectionIsBlocked() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c").watch("a").acknowledging();
        subscriber.clear();
        subscriber.isBlocked = true;
        harness.catalogue.update("a", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.time.advance(Duration.ofSeconds(2));
        assertEquals(List.of(), subscriber.messages);
        subscriber.isBlocked = false;
        harness.time.advance(Duration.ofMillis(200));
        assertEquals(1, subscriber.changes().size());
        subscriber.isBlocked = true;
        subscriber.clear();
        harness.time.advance(Duration.ofSeconds(2));
        assertEquals(List.of(), subscriber.messages, "no bookmarks either");
    }

    @Test
    void contentAlreadyHeldIsNotSentAgain() {
        PublisherHarness former = PublisherHarness.complete("a");
        Interest held = former.held("a");
        PublisherHarness harness = new PublisherHarness();
        harness.catalogue.beginEpoch(2);
        harness.catalogue.replace("z", endpoints(1, 1), "");
        harness.catalogue.replace("a", endpoints(1, 3), "");
        harness.catalogue.complete();
        Subscriber resumed = harness.subscriber("c").subscribe(false, held);
        assertEquals(List.of(new Delta("a", held.heldRevision(), new Revision(2, 2), held.digest(), List.of(), List.of(),
                Optional.empty())), resumed.changes());
        Subscriber same = harness.subscriber("d").subscribe(false, harness.held("a"));
        assertEquals(List.of(), same.changes());
    }

    @Test
    void aDifferentDigestAtTheSameRevisionIsRepairedByASnapshot() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Interest held = harness.held("a");
        Subscriber subscriber =
                harness.subscriber("c").subscribe(false, new Interest("a", held.heldRevision(), held.digest() + 1));
        assertInstanceOf(Snapshot.class, subscriber.changes().get(0));
    }

    @Test
    void aSubscriberAheadOfThePublisherReceivesNothingOlder() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Interest ahead = new Interest("a", new Revision(1, 9), 5);
        Interest aheadOfNothing = new Interest("b", new Revision(1, 9), 5);
        Subscriber subscriber = harness.subscriber("c").subscribe(false, ahead, aheadOfNothing).acknowledging();
        harness.time.advance(Duration.ofSeconds(2));
        assertEquals(List.of(), subscriber.changes());
        assertEquals(List.of(), subscriber.all(Bookmark.class), "a bookmark would imply that service b does not exist");
        harness.catalogue.advance(new Revision(1, 10));
        harness.time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(new Absent("b", new Revision(1, 10))), subscriber.changes());
        assertEquals(new Bookmark(new Revision(1, 10)), subscriber.all(Bookmark.class).get(0));
    }

    @Test
    void anIncompletePublisherReportsNoServiceAsAbsent() {
        PublisherHarness harness = new PublisherHarness();
        harness.catalogue.beginEpoch(1);
        Subscriber subscriber = harness.subscriber("c").watch("a", "b").acknowledging();
        Subscriber relay = harness.subscriber("r").subscribe(true, new Interest("b", new Revision(1, 0), 1)).acknowledging();
        harness.catalogue.replace("a", endpoints(1, 3), "");
        Subscriber served = harness.subscriber("c2").watch("a").acknowledging();
        harness.time.advance(Duration.ofMillis(2_050));
        assertEquals(1, served.changes().size());
        assertEquals(List.of(), served.all(Bookmark.class));
        assertEquals(1, subscriber.changes().size());
        assertEquals(2, subscriber.all(Status.class).size());
        assertEquals(List.of(), subscriber.all(Bookmark.class));
        harness.catalogue.complete();
        harness.endTurn();
        assertEquals(new Absent("b", new Revision(1, 1)), subscriber.changes().get(1));
        assertEquals(new Absent("b", new Revision(1, 1)), relay.changes().get(1));
        assertTrue(subscriber.all(Status.class).get(2).status().complete());
    }

    @Test
    void aServiceRemovedAndAddedAgainIsSentAsAbsentThenAsSnapshot() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c").watch("a").acknowledging();
        subscriber.clear();
        Revision removedAt = harness.catalogue.remove("a");
        harness.endTurn();
        harness.catalogue.replace("a", endpoints(1, 3), "");
        harness.endTurn();
        assertEquals(List.of(new Absent("a", removedAt), new Snapshot(harness.catalogue.state("a").orElseThrow())),
                subscriber.changes());
    }

    @Test
    void subscribersAreNotifiedThatTheSourceIsLostAndForHowLong() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c").watch("a").acknowledging();
        harness.publisher.setStaleSince(Optional.of(harness.time.now()));
        harness.time.advance(Duration.ofSeconds(3));
        List<Status> statuses = subscriber.all(Status.class);
        assertTrue(statuses.size() >= 3, statuses.toString());
        assertTrue(statuses.get(statuses.size() - 1).status().staleFor().toMillis() >= 2_000, statuses.toString());
        harness.publisher.setStaleSince(Optional.empty());
        statuses = subscriber.all(Status.class);
        assertEquals(Duration.ZERO, statuses.get(statuses.size() - 1).status().staleFor());
    }

    @Test
    void aSubscriptionInSeveralMessagesIsNotSentWhatALaterMessageHolds() {
        PublisherHarness harness = PublisherHarness.complete("a", "b");
        Interest held = harness.held("b");
        Subscriber relay = harness.subscriber("r");
        relay.sendToPublisher(new Subscribe(true, false, List.of(harness.held("a")), List.of()));
        harness.catalogue.update("b", List.of(endpoint(4)), List.of(), Optional.empty());
        harness.endTurn();
        assertEquals(List.of(), relay.changes());
        relay.sendToPublisher(new Subscribe(true, true, List.of(held), List.of()));
        harness.endTurn();
        assertEquals(1, relay.changes().size());
        assertInstanceOf(Delta.class, relay.changes().get(0));
    }

    @Test
    void anEndedWatchReceivesNothingMoreAndARequestedServiceIsSentCompletely() {
        PublisherHarness harness = PublisherHarness.complete("a", "b", "c");
        Subscriber subscriber = harness.subscriber("c").watch("a", "b", "c").acknowledging();
        subscriber.clear();
        harness.catalogue.update("c", List.of(endpoint(4)), List.of(), Optional.empty());
        subscriber.sendToPublisher(new Subscribe(false, true, List.of(interestWithoutState("b")), List.of("a")));
        harness.catalogue.update("a", List.of(), List.of(1L), Optional.empty());
        harness.endTurn();
        assertEquals(List.of("b", "c"), subscriber.changes().stream().map(ServiceChange::service).toList(),
                "a service requested again comes first: its old state may list removed servers");
        assertEquals(new Snapshot(harness.catalogue.state("b").orElseThrow()), subscriber.changes().get(0));
        subscriber.disconnect();
        harness.catalogue.update("c", List.of(endpoint(5)), List.of(), Optional.empty());
        harness.catalogue.update("c", List.of(endpoint(6)), List.of(), Optional.empty());
        assertEquals(0, harness.publisher.counters().coalesced(), "nothing is queued for a closed session");
    }

    @Test
    void progressAddsUpControllersAndRelaysReports() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Revision behind = new Revision(1, 0);
        Subscriber controller = harness.subscriber("c").watch("a");
        controller.sendToPublisher(new Acknowledge(1, harness.catalogue.revision()));
        Subscriber relay = harness.subscriber("r").subscribe(true);
        relay.sendToPublisher(new Progress(new ProgressReport(List.of(new ProgressReport.Level(behind, 1),
                new ProgressReport.Level(harness.catalogue.revision(), 7)),
                List.of(new ProgressReport.SlowController("c9", behind)))));
        relay.sendToPublisher(new Acknowledge(1, harness.catalogue.revision()));
        assertEquals(new ProgressReport(List.of(new ProgressReport.Level(behind, 1),
                new ProgressReport.Level(harness.catalogue.revision(), 8)),
                List.of(new ProgressReport.SlowController("c9", behind))), harness.publisher.progress());
        relay.disconnect();
        assertEquals(List.of(new ProgressReport.Level(harness.catalogue.revision(), 1)),
                harness.publisher.progress().levels());
    }

    @Test
    void protocolViolationsAreBadInput() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c");
        assertThrows(ProtocolException.class, () -> subscriber.sendToPublisher(new Acknowledge(0, Revision.NONE)));
        subscriber.watch("a");
        assertThrows(ProtocolException.class, () -> subscriber.sendToPublisher(new Acknowledge(2, Revision.NONE)));
        assertThrows(ProtocolException.class, () -> subscriber.sendToPublisher(new Bookmark(Revision.NONE)));
    }

    @Test
    void aConnectionClosedDuringSendLeavesNoState() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber subscriber = harness.subscriber("c");
        subscriber.closesWithinSend = true;
        subscriber.watch("a");
        harness.catalogue.remove("a");
        harness.endTurn();
        assertEquals(1, subscriber.messages.size(), "the acceptance, and nothing after the connection was closed");
        assertEquals(0, harness.publisher.counters().subscribers());
        assertEquals(0, harness.publisher.counters().coalesced());
        assertEquals(List.of(), harness.publisher.progress().levels());
    }

    @Test
    void removedServicesAreNotRetainedForSubscribersThatWatchEverything() {
        PublisherHarness harness = PublisherHarness.complete("a");
        Subscriber relay = harness.subscriber("r").subscribe(true).acknowledging();
        for (int i = 0; i < 10; i++) {
            harness.catalogue.replace("s" + i, List.of(), "");
            harness.endTurn();
            harness.catalogue.remove("s" + i);
            harness.endTurn();
        }
        assertEquals(1, relay.watchedServices());
        assertEquals(21, relay.changes().size());
    }
}
