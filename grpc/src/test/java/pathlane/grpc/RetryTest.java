package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.grpc.PluginHarness.Response;
import pathlane.standin.GrpcSessionServer;

/** Applications that retry in their own loops: all tries count as one call, and each waits for the retry delay. */
class RetryTest {

    private static final int TRIES = 6;

    /** Calls until one succeeds; each try is cancelled after the given time and immediately followed by the next. */
    private static List<Response> callInLoop(PluginHarness harness, ManagedChannel channel, CallOptions options, String key,
            boolean sameRequest, long tryTimeoutMs) {
        List<Response> tries = new ArrayList<>();
        tryOnce(harness, channel, options, key, sameRequest, tryTimeoutMs, tries);
        return tries;
    }

    private static void tryOnce(PluginHarness harness, ManagedChannel channel, CallOptions options, String key,
            boolean sameRequest, long tryTimeoutMs, List<Response> tries) {
        String request = sameRequest ? key : key + ", try " + tries.size();
        Response response = harness.call(channel, GrpcSessionServer.CHECK, options, key, request);
        tries.add(response);
        response.onClose = () -> {
            if (!response.status.isOk() && tries.size() < TRIES) {
                tryOnce(harness, channel, options, key, sameRequest, tryTimeoutMs, tries);
            }
        };
        harness.time.after(java.time.Duration.ofMillis(tryTimeoutMs), () -> {
            if (response.closeCount == 0) {
                response.call.cancel("cancelled by the application's own time limit", null);
            }
        });
    }

    private static void assertRetryDelayKept(CallOptions options, boolean sameRequest) {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            harness.processors.values().forEach(processor -> processor.fallSilent());
            List<Response> tries = callInLoop(harness, channel, options, "one", sameRequest, 300);
            harness.time.advance(10_000);
            assertEquals(TRIES, tries.size());
            assertTrue(tries.stream().allMatch(response -> response.closeCount == 1));
            assertEquals(new Pathlane.Tries(1, TRIES - 1, TRIES - 1), harness.pathlane.tries());
            assertTrue(harness.rules.attempts("one") >= 4, "attempts " + harness.rules.attempts("one"));
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void unmarkedRetriesAreRecognizedByRequest() {
        assertRetryDelayKept(CallOptions.DEFAULT, true);
    }

    @Test
    void markedRetriesAreRecognizedByMark() {
        assertRetryDelayKept(CallOptions.DEFAULT.withOption(PathlaneOptions.MARK, CallMark.create()), false);
    }

    @Test
    void differentRequestIsNoRetryAndNotDelayed() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            Response cancelled = harness.check(channel, "one");
            harness.time.advance(1);
            cancelled.call.cancel("enough", null);
            Response other = harness.check(channel, "two");
            harness.time.advance(150);
            assertEquals(Status.Code.OK, other.code());
            assertEquals(new Pathlane.Tries(2, 0, 0), harness.pathlane.tries());
        }
    }

    @Test
    void retryThatCannotMeetDeadlineIsRejectedWithRetryAfter() {
        String shortDeadline = PluginHarness.SETTINGS.replace("\"deadline-ms\": 9000", "\"deadline-ms\": 150");
        try (PluginHarness harness =
                new PluginHarness(Pathlane.builder().configuration(shortDeadline).defaultClass("status-check"), "a")) {
            ManagedChannel channel = harness.channel();
            Response cancelled = harness.check(channel, "one");
            harness.time.advance(1);
            cancelled.call.cancel("enough", null);
            Response retry = harness.check(channel, "one");
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, retry.code());
            assertEquals("200", retry.trailers.get(StreamOutcomes.PUSHBACK));
            assertEquals(1, harness.rules.attempts("one"));
        }
    }

    @Test
    void callAfterSuccessIsNoRetry() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response cancelled = harness.check(channel, "one");
            cancelled.call.cancel("enough", null);
            harness.check(channel, "one");
            harness.time.advance(1000);
            harness.check(channel, "one");
            harness.time.advance(1000);
            assertEquals(new Pathlane.Tries(2, 1, 1), harness.pathlane.tries());
        }
    }

    @Test
    void retryOfLostStreamWaitsForRetryDelay() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            Response response = harness.sign(channel, "one");
            harness.time.advance(300);
            assertEquals(List.of("one"), response.messages);
            String server = harness.processors.get("a").established() == 1 ? "a" : "b";
            harness.processors.get(server).stop();
            assertEquals(Status.Code.UNAVAILABLE, response.code());
            Response again = harness.sign(channel, "one");
            harness.time.advance(1000);
            assertEquals(List.of("one"), again.messages);
            assertEquals(List.of(), harness.rules.violations());
            assertEquals(1, harness.pathlane.tries().heldBack());
        }
    }
}
