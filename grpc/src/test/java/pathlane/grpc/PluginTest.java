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
import pathlane.grpc.Field.Heard;
import pathlane.standin.GrpcFront;

/** The life of calls through the plug-in, in virtual time and without a socket. */
class PluginTest {

    @Test
    void aUnaryCallStandsAtItsResponseAndIsOver() {
        try (Field field = new Field("a", "b")) {
            Heard heard = field.check(field.channel(), "one");
            assertEquals(0, heard.closes);
            field.time.pass(100);
            assertEquals(List.of("one"), heard.messages);
            assertEquals(Status.Code.OK, heard.code());
            assertEquals(1, field.pathlane.counters().value(Name.STOOD));
            assertEquals(1, field.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void aStreamStandsAtItsFirstWordAndEndsWithItsStatus() {
        try (Field field = new Field("a")) {
            Heard heard = field.sign(field.channel(), "one");
            field.time.pass(100);
            assertEquals(List.of("one"), heard.messages);
            assertEquals(0, heard.closes);
            assertEquals(1, field.pathlane.engine().controller().standingCalls());
            field.time.pass(8000);
            assertEquals(Status.Code.OK, heard.code());
            assertEquals(1, field.pathlane.counters().value(Name.RELEASED_BY_SERVER));
            assertEquals(0, field.pathlane.engine().controller().standingCalls());
        }
    }

    @Test
    void aStreamIsCutWhenItsServerStopsAndCancelledWhenItsCallerLeaves() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            Heard cut = field.sign(channel, "one");
            Heard left = field.sign(channel, "two");
            field.time.pass(200);
            left.call.cancel("enough", null);
            assertEquals(Status.Code.CANCELLED, left.code());
            assertEquals(1, field.pathlane.counters().value(Name.RELEASED_BY_CALLER));
            field.processors.get("a").stop();
            assertEquals(Status.Code.UNAVAILABLE, cut.code());
            assertEquals(1, field.pathlane.counters().value(Name.CUT));
        }
    }

    /** Talks: what is said before it stands is said again to the next server, what is said later to the one alone. */
    @Test
    void aCallThatGoesBothWaysStandsAtItsHeadersAndLosesNoWord() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            field.processors.get("a").drain(java.time.Duration.ofHours(1));
            for (int i = 0; i < 6; i++) {
                Heard heard = field.new Heard();
                io.grpc.ClientCall<byte[], byte[]> call = channel.newCall(GrpcFront.TALK, CallOptions.DEFAULT);
                io.grpc.Metadata headers = new io.grpc.Metadata();
                headers.put(GrpcFront.CALL, "talk" + i);
                call.start(heard, headers);
                call.request(10);
                call.sendMessage(new byte[] {'1'});
                call.sendMessage(new byte[] {'2'});
                long stood = field.pathlane.counters().value(Name.STOOD);
                field.time.pass(90);
                assertEquals(stood + 1, field.pathlane.counters().value(Name.STOOD), "stands at its headers");
                assertEquals(List.of(), heard.messages);
                call.sendMessage(new byte[] {'3'});
                field.time.pass(200);
                assertEquals(List.of("1", "2", "3"), heard.messages);
                call.halfClose();
                field.time.pass(100);
                assertEquals(Status.Code.OK, heard.code());
                field.time.pass(500);
            }
            assertTrue(field.processors.get("a").rejects() > 0, "no call was turned away first");
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void aCallThatSaysTooMuchBeforeItStandsIsRefusedAndNotSentInPart() {
        try (Field field = new Field("a")) {
            field.processors.get("a").drain(java.time.Duration.ofHours(1));
            Heard heard = field.new Heard();
            io.grpc.ClientCall<byte[], byte[]> call = field.channel().newCall(GrpcFront.TALK, CallOptions.DEFAULT);
            call.start(heard, new io.grpc.Metadata());
            for (int i = 0; i < 100; i++) {
                call.sendMessage(new byte[] {1});
            }
            field.time.pass(10_000);
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, heard.code());
            assertEquals(1, heard.closes);
            assertEquals(1, field.processors.get("a").setUps());
        }
    }

    @Test
    void aServersOwnAnswerGoesOnUnchangedAndIsNotTriedElsewhere() {
        try (Field field = new Field("a", "b")) {
            field.fronts.values().forEach(front -> front.answerWith(Status.NOT_FOUND.withDescription("no such one")));
            Heard heard = field.check(field.channel(), "one");
            field.time.pass(100);
            assertEquals(Status.Code.NOT_FOUND, heard.code());
            assertEquals("no such one", heard.status.getDescription());
            assertEquals(1, field.rules.attempts("one"));
        }
    }

    @Test
    void aServersErrorIsTriedElsewhere() {
        try (Field field = new Field("a", "b")) {
            field.fronts.get("a").answerWith(Status.INTERNAL);
            List<Heard> all = new ArrayList<>();
            ManagedChannel channel = field.channel();
            for (int i = 0; i < 20; i++) {
                all.add(field.check(channel, "n" + i));
                field.time.pass(200);
            }
            field.time.pass(3000);
            assertTrue(all.stream().allMatch(heard -> heard.code() == Status.Code.OK));
            assertTrue(field.pathlane.counters().value(Name.ATTEMPTS_IN_ERROR) > 0);
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void whatIsTurnedAwayHearsSoAtOnceWithTheTimeToComeBack() throws Exception {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            List<Heard> all = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                all.add(field.check(channel, "n" + i));
                field.time.pass(5);
            }
            field.time.pass(9000);
            assertTrue(all.stream().allMatch(heard -> heard.closes == 1));
            Heard refused = all.stream().filter(heard -> heard.code() == Status.Code.RESOURCE_EXHAUSTED).findFirst()
                    .orElseThrow();
            RetryInfo info = StatusProto.fromStatusAndTrailers(refused.status, refused.trailers).getDetails(0)
                    .unpack(RetryInfo.class);
            long advised = info.getRetryDelay().getSeconds() * 1000 + info.getRetryDelay().getNanos() / 1_000_000;
            assertTrue(advised > 0 && advised <= 2000, "advised " + advised);
            assertEquals(Long.toString(advised), refused.trailers.get(Endings.PUSHBACK));
            assertEquals(field.pathlane.counters().value(Name.REFUSED),
                    all.stream().filter(heard -> heard.code() != Status.Code.OK).count());
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void aServerThatTurnsAwayIsLeftAloneAndItsCallsGoElsewhere() {
        try (Field field = new Field("a", "b")) {
            field.processors.get("a").drain(java.time.Duration.ofHours(1));
            ManagedChannel channel = field.channel();
            List<Heard> all = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                all.add(field.check(channel, "n" + i));
                field.time.pass(100);
            }
            field.time.pass(3000);
            assertTrue(all.stream().allMatch(heard -> heard.code() == Status.Code.OK));
            assertTrue(field.processors.get("a").setUps() < 15, "sent there: " + field.processors.get("a").setUps());
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void callsWithoutDeadlineHaveTheirClassesAndAnUnknownClassFailsAtOnce() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            field.processors.get("a").silent();
            Heard plain = field.check(channel, "plain");
            Heard sign = field.sign(channel, "sign");
            Heard unknown = field.call(channel, GrpcFront.CHECK,
                    CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS, "no-such"), "unknown");
            assertEquals(Status.Code.INVALID_ARGUMENT, unknown.code());
            assertEquals(0, field.rules.attempts("unknown"));
            double from = field.time.nowMs();
            field.time.pass(20_000);
            assertTrue(sign.closedAt - from <= 6000, "signed " + (sign.closedAt - from));
            assertTrue(plain.closedAt - from <= 9000, "checked " + (plain.closedAt - from));
            assertTrue(plain.closedAt - from > 6000, "a class of its own: " + (plain.closedAt - from));
            assertEquals(1, plain.closes);
            assertEquals(1, sign.closes);
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void nothingIsKeptOfCallsThatAreOver() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            for (int i = 0; i < 300; i++) {
                field.check(channel, "n" + i);
                field.sign(channel, "s" + i).onClose = () -> { };
                field.time.pass(120);
            }
            field.time.pass(70_000);
            field.check(channel, "last");
            field.time.pass(1000);
            assertTrue(field.pathlane.engine().kept() < 10, "kept " + field.pathlane.engine().kept());
            assertTrue(field.time.pending() < 10, "timers " + field.time.pending());
        }
    }
}
