package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.rpc.RetryInfo;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.protobuf.StatusProto;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters.Name;
import pathlane.grpc.PluginHarness.Response;
import pathlane.standin.GrpcSessionServer;

/** Calls through the plug-in, in virtual time and without sockets. */
class PluginTest {

    @Test
    void unaryCallIsEstablishedAndEndedByItsResponse() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            Response response = harness.check(harness.channel(), "one");
            assertEquals(0, response.closeCount);
            harness.time.advance(100);
            assertEquals(List.of("one"), response.messages);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.ESTABLISHED));
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void streamIsEstablishedByFirstMessageAndEndsWithItsStatus() {
        try (PluginHarness harness = new PluginHarness("a")) {
            Response response = harness.sign(harness.channel(), "one");
            harness.time.advance(100);
            assertEquals(List.of("one"), response.messages);
            assertEquals(0, response.closeCount);
            assertEquals(1, harness.pathlane.engine().controller().establishedCalls());
            harness.time.advance(8000);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(0, harness.pathlane.engine().controller().establishedCalls());
        }
    }

    @Test
    void streamEndsWhenServerStopsOrClientCancels() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response lost = harness.sign(channel, "one");
            Response cancelled = harness.sign(channel, "two");
            harness.time.advance(200);
            cancelled.call.cancel("enough", null);
            assertEquals(Status.Code.CANCELLED, cancelled.code());
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_CLIENT));
            harness.processors.get("a").stop();
            assertEquals(Status.Code.UNAVAILABLE, lost.code());
            assertEquals(1, harness.pathlane.counters().value(Name.CUT));
        }
    }

    /** Messages sent before the call is established are replayed to each server tried; later ones go to its server only. */
    @Test
    void bidirectionalCallIsEstablishedByHeadersAndLosesNoMessage() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            for (int i = 0; i < 6; i++) {
                Response response = harness.new Response();
                io.grpc.ClientCall<byte[], byte[]> call = channel.newCall(GrpcSessionServer.TALK, CallOptions.DEFAULT);
                io.grpc.Metadata headers = new io.grpc.Metadata();
                headers.put(GrpcSessionServer.CALL, "talk" + i);
                call.start(response, headers);
                call.request(10);
                call.sendMessage(new byte[] {'1'});
                call.sendMessage(new byte[] {'2'});
                long establishedBefore = harness.pathlane.counters().value(Name.ESTABLISHED);
                harness.time.advance(90);
                assertEquals(establishedBefore + 1, harness.pathlane.counters().value(Name.ESTABLISHED),
                        "established by its headers");
                assertEquals(List.of(), response.messages);
                call.sendMessage(new byte[] {'3'});
                harness.time.advance(200);
                assertEquals(List.of("1", "2", "3"), response.messages);
                call.halfClose();
                harness.time.advance(100);
                assertEquals(Status.Code.OK, response.code());
                harness.time.advance(500);
            }
            assertTrue(harness.processors.get("a").rejects() > 0, "no call was rejected first");
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void callWithTooManyMessagesBeforeEstablishedIsRejected() {
        try (PluginHarness harness = new PluginHarness("a")) {
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            Response response = harness.new Response();
            io.grpc.ClientCall<byte[], byte[]> call = harness.channel().newCall(GrpcSessionServer.TALK, CallOptions.DEFAULT);
            call.start(response, new io.grpc.Metadata());
            for (int i = 0; i < 100; i++) {
                call.sendMessage(new byte[] {1});
            }
            harness.time.advance(10_000);
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, response.code());
            assertEquals(1, response.closeCount);
            assertEquals(1, harness.processors.get("a").requests());
        }
    }

    @Test
    void serverAnswerIsPassedUnchangedWithoutRetry() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.values().forEach(front -> front.endCallsWith(Status.NOT_FOUND.withDescription("no such one")));
            Response response = harness.check(harness.channel(), "one");
            harness.time.advance(100);
            assertEquals(Status.Code.NOT_FOUND, response.code());
            assertEquals("no such one", response.status.getDescription());
            assertEquals(1, harness.rules.attempts("one"));
        }
    }

    @Test
    void serverErrorIsRetriedAtAnotherServer() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.get("a").endCallsWith(Status.INTERNAL);
            List<Response> responses = new ArrayList<>();
            ManagedChannel channel = harness.channel();
            for (int i = 0; i < 20; i++) {
                responses.add(harness.check(channel, "n" + i));
                harness.time.advance(200);
            }
            harness.time.advance(3000);
            assertTrue(responses.stream().allMatch(response -> response.code() == Status.Code.OK));
            assertTrue(harness.pathlane.counters().value(Name.ATTEMPTS_IN_ERROR) > 0);
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void rejectedCallGetsAnswerWithRetryAfter() throws Exception {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            List<Response> responses = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                responses.add(harness.check(channel, "n" + i));
                harness.time.advance(5);
            }
            harness.time.advance(9000);
            assertTrue(responses.stream().allMatch(response -> response.closeCount == 1));
            Response rejected =
                    responses.stream().filter(response -> response.code() == Status.Code.RESOURCE_EXHAUSTED).findFirst()
                            .orElseThrow();
            RetryInfo info = StatusProto.fromStatusAndTrailers(rejected.status, rejected.trailers).getDetails(0)
                    .unpack(RetryInfo.class);
            long retryAfterMs = info.getRetryDelay().getSeconds() * 1000 + info.getRetryDelay().getNanos() / 1_000_000;
            assertTrue(retryAfterMs > 0 && retryAfterMs <= 2000, "retry-after " + retryAfterMs);
            assertEquals(Long.toString(retryAfterMs), rejected.trailers.get(StreamOutcomes.PUSHBACK));
            assertEquals(harness.pathlane.counters().value(Name.REJECTED),
                    responses.stream().filter(response -> response.code() != Status.Code.OK).count());
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void rejectingServerIsAvoided() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            ManagedChannel channel = harness.channel();
            List<Response> responses = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                responses.add(harness.check(channel, "n" + i));
                harness.time.advance(100);
            }
            harness.time.advance(3000);
            assertTrue(responses.stream().allMatch(response -> response.code() == Status.Code.OK));
            assertTrue(harness.processors.get("a").requests() < 15, "sent there: " + harness.processors.get("a").requests());
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void callWithoutDeadlineUsesThatOfItsClassAndUnknownClassFails() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").fallSilent();
            Response plain = harness.check(channel, "plain");
            Response sign = harness.sign(channel, "sign");
            Response unknown = harness.call(channel, GrpcSessionServer.CHECK,
                    CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS, "no-such"), "unknown");
            assertEquals(Status.Code.INVALID_ARGUMENT, unknown.code());
            assertEquals(0, harness.rules.attempts("unknown"));
            double startMs = harness.time.nowMs();
            harness.time.advance(20_000);
            assertTrue(sign.closedAtMs - startMs <= 6000, "signed " + (sign.closedAtMs - startMs));
            assertTrue(plain.closedAtMs - startMs <= 9000, "checked " + (plain.closedAtMs - startMs));
            assertTrue(plain.closedAtMs - startMs > 6000,
                    "deadline of another class applied: " + (plain.closedAtMs - startMs));
            assertEquals(1, plain.closeCount);
            assertEquals(1, sign.closeCount);
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void noStateIsRetainedForFinishedCalls() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            for (int i = 0; i < 300; i++) {
                harness.check(channel, "n" + i);
                harness.sign(channel, "s" + i).onClose = () -> {};
                harness.time.advance(120);
            }
            harness.time.advance(70_000);
            harness.check(channel, "last");
            harness.time.advance(1000);
            assertTrue(harness.pathlane.engine().retainedEntries() < 10,
                    "kept " + harness.pathlane.engine().retainedEntries());
            assertTrue(harness.time.scheduledTasks() < 10, "timers " + harness.time.scheduledTasks());
        }
    }
}
