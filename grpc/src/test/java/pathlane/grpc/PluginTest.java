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
import pathlane.standin.GrpcFront;

/** The life of calls through the plug-in, in virtual time and without a socket. */
class PluginTest {

    @Test
    void aUnaryCallStandsAtItsResponseAndIsOver() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            Response response = harness.check(harness.channel(), "one");
            assertEquals(0, response.closes);
            harness.time.pass(100);
            assertEquals(List.of("one"), response.messages);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.ESTABLISHED));
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void aStreamStandsAtItsFirstWordAndEndsWithItsStatus() {
        try (PluginHarness harness = new PluginHarness("a")) {
            Response response = harness.sign(harness.channel(), "one");
            harness.time.pass(100);
            assertEquals(List.of("one"), response.messages);
            assertEquals(0, response.closes);
            assertEquals(1, harness.pathlane.engine().controller().establishedCalls());
            harness.time.pass(8000);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(0, harness.pathlane.engine().controller().establishedCalls());
        }
    }

    @Test
    void aStreamIsCutWhenItsServerStopsAndCancelledWhenItsCallerLeaves() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response cut = harness.sign(channel, "one");
            Response left = harness.sign(channel, "two");
            harness.time.pass(200);
            left.call.cancel("enough", null);
            assertEquals(Status.Code.CANCELLED, left.code());
            assertEquals(1, harness.pathlane.counters().value(Name.RELEASED_BY_CLIENT));
            harness.processors.get("a").stop();
            assertEquals(Status.Code.UNAVAILABLE, cut.code());
            assertEquals(1, harness.pathlane.counters().value(Name.CUT));
        }
    }

    /** Talks: what is said before it stands is said again to the next server, what is said later to the one alone. */
    @Test
    void aCallThatGoesBothWaysStandsAtItsHeadersAndLosesNoWord() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            for (int i = 0; i < 6; i++) {
                Response response = harness.new Response();
                io.grpc.ClientCall<byte[], byte[]> call = channel.newCall(GrpcFront.TALK, CallOptions.DEFAULT);
                io.grpc.Metadata headers = new io.grpc.Metadata();
                headers.put(GrpcFront.CALL, "talk" + i);
                call.start(response, headers);
                call.request(10);
                call.sendMessage(new byte[] {'1'});
                call.sendMessage(new byte[] {'2'});
                long stood = harness.pathlane.counters().value(Name.ESTABLISHED);
                harness.time.pass(90);
                assertEquals(stood + 1, harness.pathlane.counters().value(Name.ESTABLISHED), "stands at its headers");
                assertEquals(List.of(), response.messages);
                call.sendMessage(new byte[] {'3'});
                harness.time.pass(200);
                assertEquals(List.of("1", "2", "3"), response.messages);
                call.halfClose();
                harness.time.pass(100);
                assertEquals(Status.Code.OK, response.code());
                harness.time.pass(500);
            }
            assertTrue(harness.processors.get("a").rejects() > 0, "no call was turned away first");
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void aCallThatSaysTooMuchBeforeItStandsIsRefusedAndNotSentInPart() {
        try (PluginHarness harness = new PluginHarness("a")) {
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            Response response = harness.new Response();
            io.grpc.ClientCall<byte[], byte[]> call = harness.channel().newCall(GrpcFront.TALK, CallOptions.DEFAULT);
            call.start(response, new io.grpc.Metadata());
            for (int i = 0; i < 100; i++) {
                call.sendMessage(new byte[] {1});
            }
            harness.time.pass(10_000);
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, response.code());
            assertEquals(1, response.closes);
            assertEquals(1, harness.processors.get("a").setUps());
        }
    }

    @Test
    void aServersOwnAnswerGoesOnUnchangedAndIsNotTriedElsewhere() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.values().forEach(front -> front.answerWith(Status.NOT_FOUND.withDescription("no such one")));
            Response response = harness.check(harness.channel(), "one");
            harness.time.pass(100);
            assertEquals(Status.Code.NOT_FOUND, response.code());
            assertEquals("no such one", response.status.getDescription());
            assertEquals(1, harness.rules.attempts("one"));
        }
    }

    @Test
    void aServersErrorIsTriedElsewhere() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.get("a").answerWith(Status.INTERNAL);
            List<Response> all = new ArrayList<>();
            ManagedChannel channel = harness.channel();
            for (int i = 0; i < 20; i++) {
                all.add(harness.check(channel, "n" + i));
                harness.time.pass(200);
            }
            harness.time.pass(3000);
            assertTrue(all.stream().allMatch(response -> response.code() == Status.Code.OK));
            assertTrue(harness.pathlane.counters().value(Name.ATTEMPTS_IN_ERROR) > 0);
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void whatIsTurnedAwayHearsSoAtOnceWithTheTimeToComeBack() throws Exception {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            List<Response> all = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                all.add(harness.check(channel, "n" + i));
                harness.time.pass(5);
            }
            harness.time.pass(9000);
            assertTrue(all.stream().allMatch(response -> response.closes == 1));
            Response refused = all.stream().filter(response -> response.code() == Status.Code.RESOURCE_EXHAUSTED).findFirst()
                    .orElseThrow();
            RetryInfo info = StatusProto.fromStatusAndTrailers(refused.status, refused.trailers).getDetails(0)
                    .unpack(RetryInfo.class);
            long advised = info.getRetryDelay().getSeconds() * 1000 + info.getRetryDelay().getNanos() / 1_000_000;
            assertTrue(advised > 0 && advised <= 2000, "advised " + advised);
            assertEquals(Long.toString(advised), refused.trailers.get(Endings.PUSHBACK));
            assertEquals(harness.pathlane.counters().value(Name.REJECTED),
                    all.stream().filter(response -> response.code() != Status.Code.OK).count());
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void aServerThatTurnsAwayIsLeftAloneAndItsCallsGoElsewhere() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.processors.get("a").drain(java.time.Duration.ofHours(1));
            ManagedChannel channel = harness.channel();
            List<Response> all = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                all.add(harness.check(channel, "n" + i));
                harness.time.pass(100);
            }
            harness.time.pass(3000);
            assertTrue(all.stream().allMatch(response -> response.code() == Status.Code.OK));
            assertTrue(harness.processors.get("a").setUps() < 15, "sent there: " + harness.processors.get("a").setUps());
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void callsWithoutDeadlineHaveTheirClassesAndAnUnknownClassFailsAtOnce() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").silent();
            Response plain = harness.check(channel, "plain");
            Response sign = harness.sign(channel, "sign");
            Response unknown = harness.call(channel, GrpcFront.CHECK,
                    CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS, "no-such"), "unknown");
            assertEquals(Status.Code.INVALID_ARGUMENT, unknown.code());
            assertEquals(0, harness.rules.attempts("unknown"));
            double from = harness.time.nowMs();
            harness.time.pass(20_000);
            assertTrue(sign.closedAt - from <= 6000, "signed " + (sign.closedAt - from));
            assertTrue(plain.closedAt - from <= 9000, "checked " + (plain.closedAt - from));
            assertTrue(plain.closedAt - from > 6000, "a class of its own: " + (plain.closedAt - from));
            assertEquals(1, plain.closes);
            assertEquals(1, sign.closes);
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void nothingIsKeptOfCallsThatAreOver() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            for (int i = 0; i < 300; i++) {
                harness.check(channel, "n" + i);
                harness.sign(channel, "s" + i).onClose = () -> {};
                harness.time.pass(120);
            }
            harness.time.pass(70_000);
            harness.check(channel, "last");
            harness.time.pass(1000);
            assertTrue(harness.pathlane.engine().kept() < 10, "kept " + harness.pathlane.engine().kept());
            assertTrue(harness.time.pending() < 10, "timers " + harness.time.pending());
        }
    }
}
