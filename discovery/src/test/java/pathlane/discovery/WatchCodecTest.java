package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathlane.discovery.Samples.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.ServiceChange.Absent;
import pathlane.discovery.ServiceChange.Delta;
import pathlane.discovery.ServiceChange.Snapshot;
import pathlane.discovery.WatchMessage.Accepted;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Bookmark;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Progress;
import pathlane.discovery.WatchMessage.Refused;
import pathlane.discovery.WatchMessage.Status;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.discovery.WatchMessage.Update;
import pathlane.wire.ProtocolException;

class WatchCodecTest {

    private static final Revision REVISION = new Revision(Long.MAX_VALUE, 3);
    private static final PublisherStatus STATUS = new PublisherStatus(true, REVISION, Duration.ofMillis(1_234));
    private static final ServerEndpoint ODD = new ServerEndpoint(Long.MIN_VALUE, new InetSocketAddress("::1", 65_535),
            ServerStatus.DRAINING, -5, 0.1, Instant.parse("2026-01-02T03:04:05.006007008Z"));
    private static final ServerEndpoint NAMED =
            new ServerEndpoint(-1, InetSocketAddress.createUnresolved("server.example", 0),
                    ServerStatus.RUNNING, 9, 2, Instant.ofEpochSecond(-1));
    private static final ServiceChange SNAPSHOT =
            new Snapshot(new ServiceState("ä", REVISION, -7, List.of(ODD, NAMED, endpoint(5)), "text"));
    private static final ServiceChange DELTA = new Delta("b", Revision.NONE, REVISION, 7, List.of(ODD), List.of(-1L, 2L),
            Optional.of(""));
    private static final ServiceChange SMALL_DELTA = new Delta("b", Revision.NONE, REVISION, 7, List.of(), List.of(),
            Optional.empty());
    private static final List<WatchMessage> MESSAGES = List.of(
            new Subscribe(true, false, List.of(new Interest("a", REVISION, Long.MIN_VALUE)), List.of("b", "c")),
            new Acknowledge(4, REVISION),
            new Progress(new ProgressReport(List.of(new ProgressReport.Level(REVISION, 26_000)),
                    List.of(new ProgressReport.SlowController("c", Revision.NONE)))),
            new Accepted(STATUS), new Refused(Duration.ofMillis(250)),
            new Update(2, List.of(SNAPSHOT, DELTA, SMALL_DELTA, new Absent("d", REVISION))),
            new Bookmark(REVISION), new Status(STATUS));

    @Test
    void everyMessageSurvivesEncodingAndDecoding() {
        for (WatchMessage message : MESSAGES) {
            assertEquals(message, WatchCodec.message(WatchCodec.bytes(message)));
        }
    }

    @Test
    void separatelyEncodedChangesMakeTheSameUpdate() {
        assertArrayEquals(WatchCodec.bytes(new Update(9, List.of(SNAPSHOT, DELTA))),
                WatchCodec.update(9, List.of(WatchCodec.bytes(SNAPSHOT), WatchCodec.bytes(DELTA))));
    }

    @Test
    void truncatedOrCorruptedBytesAreBadInputOrAnotherMessage() {
        Random random = new Random(7);
        for (WatchMessage message : MESSAGES) {
            byte[] bytes = WatchCodec.bytes(message);
            for (int length = 0; length < bytes.length; length++) {
                byte[] truncated = Arrays.copyOf(bytes, length);
                assertThrows(ProtocolException.class, () -> WatchCodec.message(truncated));
            }
            assertThrows(ProtocolException.class, () -> WatchCodec.message(Arrays.copyOf(bytes, bytes.length + 1)));
            for (int i = 0; i < 2_000; i++) {
                byte[] changed = bytes.clone();
                changed[random.nextInt(bytes.length)] = (byte) random.nextInt();
                decode(changed);
            }
        }
    }

    private static void decode(byte[] bytes) {
        try {
            WatchCodec.message(bytes);
        } catch (ProtocolException e) {
            // expected; any other exception fails the test
        }
    }

    @Test
    void fieldsBeyondTheirLimitsAreBadInput() {
        assertBadInput(new Subscribe(false, true, List.of(), List.of("")));
        assertBadInput(new Subscribe(false, true, List.of(), List.of("x".repeat(65))));
        assertBadInput(new Acknowledge(-1, REVISION));
        assertBadInput(new Bookmark(new Revision(-1, 0)));
        assertBadInput(new Refused(Duration.ofDays(4_000)));
        assertBadInput(new Progress(new ProgressReport(
                Collections.nCopies(17, new ProgressReport.Level(REVISION, 1)), List.of())));
        assertBadInput(new Progress(new ProgressReport(List.of(new ProgressReport.Level(REVISION, 1L << 31)), List.of())));
        assertBadInput(new Update(1, List.of(new Delta("a", REVISION, REVISION, 0, List.of(new ServerEndpoint(1,
                endpoint(1).address(), ServerStatus.RUNNING, 0, Double.NaN, Instant.EPOCH)), List.of(), Optional.empty()))));
    }

    private static void assertBadInput(WatchMessage message) {
        byte[] bytes = WatchCodec.bytes(message);
        assertThrows(ProtocolException.class, () -> WatchCodec.message(bytes));
    }

    @Test
    void anEndpointTakesAtMostSixtyBytes() {
        int without = WatchCodec.bytes(SMALL_DELTA).length;
        int with = WatchCodec
                .bytes(new Delta("b", Revision.NONE, REVISION, 7, List.of(ODD), List.of(), Optional.empty())).length;
        assertTrue(with - without <= 60, with - without + " bytes");
    }
}
