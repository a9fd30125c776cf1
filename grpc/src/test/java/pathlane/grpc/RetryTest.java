package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.grpc.Field.Heard;
import pathlane.standin.GrpcFront;

/** Applications whose own loops call again: every try counts under the first, and none leaves within the gap. */
class RetryTest {

    private static final int TRIES = 6;

    /** Tries until it stands, each given up after so long and followed at once by the next. */
    private static List<Heard> loop(Field field, ManagedChannel channel, CallOptions options, String key,
                                    boolean sameRequest, long eachMs) {
        List<Heard> tries = new ArrayList<>();
        tryOnce(field, channel, options, key, sameRequest, eachMs, tries);
        return tries;
    }

    private static void tryOnce(Field field, ManagedChannel channel, CallOptions options, String key,
                                boolean sameRequest, long eachMs, List<Heard> tries) {
        String request = sameRequest ? key : key + ", try " + tries.size();
        Heard heard = field.call(channel, GrpcFront.CHECK, options, key, request);
        tries.add(heard);
        heard.onClose = () -> {
            if (!heard.status.isOk() && tries.size() < TRIES) {
                tryOnce(field, channel, options, key, sameRequest, eachMs, tries);
            }
        };
        field.time.after(java.time.Duration.ofMillis(eachMs), () -> {
            if (heard.closes == 0) {
                heard.call.cancel("the application's own patience is over", null);
            }
        });
    }

    private static void keepsTheGap(CallOptions options, boolean sameRequest) {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            field.processors.values().forEach(processor -> processor.silent());
            List<Heard> tries = loop(field, channel, options, "one", sameRequest, 300);
            field.time.pass(10_000);
            assertEquals(TRIES, tries.size());
            assertTrue(tries.stream().allMatch(heard -> heard.closes == 1));
            assertEquals(new Pathlane.Tries(1, TRIES - 1, TRIES - 1), field.pathlane.tries());
            assertTrue(field.rules.attempts("one") >= 4, "attempts " + field.rules.attempts("one"));
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void aLoopThatKnowsNothingOfThePluginIsKnownByWhatItAsks() {
        keepsTheGap(CallOptions.DEFAULT, true);
    }

    @Test
    void aLoopThatMarksItsTriesIsKnownByItsMarkWhateverItAsks() {
        keepsTheGap(CallOptions.DEFAULT.withOption(PathlaneOptions.MARK, CallMark.create()), false);
    }

    @Test
    void whoAsksSomethingElseIsNobodysRetryAndWaitsForNothing() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            Heard given = field.check(channel, "one");
            field.time.pass(1);
            given.call.cancel("enough", null);
            Heard other = field.check(channel, "two");
            field.time.pass(150);
            assertEquals(Status.Code.OK, other.code());
            assertEquals(new Pathlane.Tries(2, 0, 0), field.pathlane.tries());
        }
    }

    @Test
    void aRetryThatCannotStandInTimeHearsSoAtOnceAndWhenToComeBack() {
        String brief = Field.SETTINGS.replace("\"deadline-ms\": 9000", "\"deadline-ms\": 150");
        try (Field field = new Field(Pathlane.builder().configuration(brief).defaultClass("status-check"), "a")) {
            ManagedChannel channel = field.channel();
            Heard given = field.check(channel, "one");
            field.time.pass(1);
            given.call.cancel("enough", null);
            Heard retry = field.check(channel, "one");
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, retry.code());
            assertEquals("200", retry.trailers.get(Endings.PUSHBACK));
            assertEquals(1, field.rules.attempts("one"));
        }
    }

    @Test
    void aCallThatStoodIsAskedAnewAfterwards() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            Heard given = field.check(channel, "one");
            given.call.cancel("enough", null);
            field.check(channel, "one");
            field.time.pass(1000);
            field.check(channel, "one");
            field.time.pass(1000);
            assertEquals(new Pathlane.Tries(2, 1, 1), field.pathlane.tries());
        }
    }

    @Test
    void aStreamThatWasCutWaitsForTheGapWhenItComesAgain() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            Heard heard = field.sign(channel, "one");
            field.time.pass(300);
            assertEquals(List.of("one"), heard.messages);
            String there = field.processors.get("a").standing() == 1 ? "a" : "b";
            field.processors.get(there).stop();
            assertEquals(Status.Code.UNAVAILABLE, heard.code());
            Heard again = field.sign(channel, "one");
            field.time.pass(1000);
            assertEquals(List.of("one"), again.messages);
            assertEquals(List.of(), field.rules.broken());
            assertEquals(1, field.pathlane.tries().heldBack());
        }
    }
}
