package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.grpc.CallOptions;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters.Name;
import pathlane.grpc.Field.Heard;
import pathlane.standin.GrpcFront;
import pathlane.standin.Processor;

/** Channels around the plug-in: lists of servers, configuration, sharing, gRPC's own retries, ends. */
class ChannelTest {

    @SuppressWarnings("unchecked")
    private static Map<String, ?> json(String text) {
        return new Gson().fromJson(text, Map.class);
    }

    @Test
    void aServerThatGoesSilentCostsItsCallsTheirTimeAndNoOther() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            List<Heard> streams = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                streams.add(field.sign(channel, "s" + i));
                field.time.pass(100);
            }
            field.processors.get("a").silent();
            List<Heard> calls = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                calls.add(field.check(channel, "n" + i));
                field.time.pass(100);
            }
            field.processors.get("a").speak();
            field.time.pass(20_000);
            assertTrue(streams.stream().allMatch(heard -> heard.closes == 1 && heard.messages.size() == 1));
            assertTrue(calls.stream().allMatch(heard -> heard.closes == 1));
            long stood = calls.stream().filter(heard -> heard.status.isOk()).count();
            assertTrue(stood >= 55, "stood: " + stood);
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void anEmptyListIsObeyedAndWhenAllServersComeBackColdNoneIsPushedOver() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            List<Heard> calls = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                calls.add(field.check(channel, "n" + i));
                field.time.pass(40);
            }
            field.time.pass(1000);
            long before = field.processors.values().stream().mapToLong(Processor::setUps).sum();
            field.list();
            for (int i = 0; i < 100; i++) {
                calls.add(field.check(channel, "e" + i));
                field.time.pass(40);
            }
            assertEquals(before, field.processors.values().stream().mapToLong(Processor::setUps).sum(), "sent nowhere");
            field.add("c").startCold();
            field.add("d").startCold();
            field.list("c", "d");
            for (int i = 0; i < 600; i++) {
                calls.add(field.check(channel, "c" + i));
                field.time.pass(25);
            }
            field.time.pass(10_000);
            assertTrue(calls.stream().allMatch(heard -> heard.closes == 1));
            for (String cold : List.of("c", "d")) {
                Processor processor = field.processors.get(cold);
                assertTrue(!processor.fell() && processor.mostOfBudget() < 1, cold + ": " + processor.mostOfBudget());
                assertTrue(processor.answers() > 100, cold + " answered " + processor.answers());
            }
            assertEquals(List.of(), field.rules.broken());
        }
    }

    @Test
    void aStreamOutlivesItsServersNameAndNothingNewGoesThere() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            Heard heard = field.sign(channel, "one");
            field.time.pass(200);
            field.add("b");
            field.list("b");
            for (int i = 0; i < 10; i++) {
                field.check(channel, "n" + i);
                field.time.pass(100);
            }
            assertEquals(1, field.processors.get("a").setUps());
            assertEquals(0, heard.closes);
            field.time.pass(8000);
            assertEquals(Status.Code.OK, heard.code());
            field.list("a");
            Heard back = field.check(channel, "back");
            field.time.pass(200);
            assertEquals(Status.Code.OK, back.code());
            assertEquals(2, field.processors.get("a").setUps());
        }
    }

    @Test
    void whereTheFirstListIsEmptyCallsFailAtOnceAndThoseThatWaitForItStand() {
        try (Field field = new Field()) {
            ManagedChannel channel = field.channel();
            Heard now = field.check(channel, "now");
            assertEquals(Status.Code.UNAVAILABLE, now.code());
            Heard waits = field.call(channel, GrpcFront.CHECK, CallOptions.DEFAULT.withWaitForReady(), "waits");
            assertEquals(0, waits.closes);
            field.add("a");
            field.list("a");
            field.time.pass(100);
            assertEquals(Status.Code.OK, waits.code());
        }
    }

    @Test
    void settingsComeByTheServiceConfigToo() {
        Map<String, Object> own = new HashMap<>(json(Field.SETTINGS));
        own.put("plug-in", json("{\"classes\": {\"signing.Sessions\": \"deadline-sign\"}}"));
        Map<String, ?> service = Map.of("loadBalancingConfig", List.of(Map.of("pathlane", own)));
        try (Field field = new Field(Pathlane.builder(), "a")) {
            ManagedChannel channel = field.keep(field.pathlane.attach(field.builder("pool"), service).build());
            Heard heard = field.check(channel, "one");
            field.time.pass(100);
            assertEquals(Status.Code.OK, heard.code());
            assertEquals(1, field.pathlane.engine().config().classOf("signing.Sessions/Check", "signing.Sessions", null));
        }
    }

    @Test
    void aChannelWithoutSettingsSaysSo() {
        try (Field field = new Field(Pathlane.builder(), "a")) {
            Heard heard = field.check(field.channel(), "one");
            assertEquals(Status.Code.INTERNAL, heard.code());
            assertTrue(heard.status.getDescription().contains("has no settings"), heard.status.toString());
        }
    }

    @Test
    void aBadConfigIsRefusedWithOneSentence() {
        PathlaneLoadBalancerProvider provider = new PathlaneLoadBalancerProvider();
        Status error = provider.parseLoadBalancingPolicyConfig(json(
                Field.SETTINGS.replace("\"cold-ms\": 13000,", ""))).getError();
        assertEquals("the config of the policy 'pathlane' can't be used: setting can't be used: cold-ms",
                error.getDescription());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().configuration("no json"));
        assertThrows(IllegalArgumentException.class,
                () -> Pathlane.builder().configuration(Field.SETTINGS).defaultClass("no-such").build());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().defaultClass("a").build());
    }

    @Test
    void thePolicyWithoutItsPluginSaysSo() {
        try (Field field = new Field("a")) {
            ManagedChannel bare = field.keep(field.builder("pool").defaultLoadBalancingPolicy("pathlane").build());
            Heard heard = field.check(bare, "one");
            assertEquals(Status.Code.INTERNAL, heard.code());
            assertTrue(heard.status.getDescription().contains("Pathlane.attach"), heard.status.toString());
        }
    }

    @Test
    void hedgingIsRefusedWhereTheChannelIsBuilt() {
        Map<String, ?> hedging = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "hedgingPolicy":
                 {"maxAttempts": 3, "hedgingDelay": "0.05s", "nonFatalStatusCodes": ["UNAVAILABLE"]}}]}""");
        try (Field field = new Field("a", "b")) {
            assertThrows(IllegalArgumentException.class,
                    () -> field.pathlane.attach(field.builder("pool"), hedging));
        }
    }

    /** Asks for a hedged stream of each call, as gRPC does where a service config makes it. */
    private static final class Hedger implements io.grpc.ClientInterceptor {
        @Override
        public <Q, R> io.grpc.ClientCall<Q, R> interceptCall(io.grpc.MethodDescriptor<Q, R> method, CallOptions options,
                                                             io.grpc.Channel next) {
            return new io.grpc.ForwardingClientCall.SimpleForwardingClientCall<Q, R>(next.newCall(method, options)) {
                @Override
                public void halfClose() {
                    super.halfClose();
                    options.getStreamTracerFactories().forEach(factory -> factory.newClientStreamTracer(
                            io.grpc.ClientStreamTracer.StreamInfo.newBuilder().setIsHedging(true).build(),
                            new io.grpc.Metadata()));
                }
            };
        }
    }

    @Test
    void aChannelThatHedgesAllTheSameIsToldSoAndNoSecondStreamLeaves() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel insists = field.keep(field.pathlane.attach(field.builder("pool").intercept(new Hedger()))
                    .build());
            Heard first = field.check(insists, "one");
            Heard second = field.check(insists, "two");
            assertEquals(Status.Code.FAILED_PRECONDITION, second.code());
            assertTrue(second.status.getDescription().contains("hedgingPolicy"), second.status.toString());
            field.time.pass(1000);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(1, field.rules.attempts("one"));
            assertEquals(0, field.rules.attempts("two"));
        }
    }

    @Test
    void aRetryPolicyMakesNoAttemptOfItsOwn() {
        Map<String, ?> retrying = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "retryPolicy":
                 {"maxAttempts": 5, "initialBackoff": "0.01s", "maxBackoff": "0.01s", "backoffMultiplier": 1,
                  "retryableStatusCodes": ["INTERNAL", "NOT_FOUND"]}}]}""");
        try (Field field = new Field("a", "b")) {
            field.fronts.values().forEach(front -> front.answerWith(Status.NOT_FOUND));
            ManagedChannel channel = field.keep(field.pathlane.attach(field.builder("pool"), retrying).build());
            Heard heard = field.check(channel, "one");
            field.time.pass(2000);
            assertEquals(Status.Code.NOT_FOUND, heard.code());
            assertEquals(1, field.rules.attempts("one"));
        }
    }

    @Test
    void channelsOfOneTargetShareAControllerAndAnotherTargetIsRefused() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel one = field.channel();
            ManagedChannel two = field.channel();
            Heard first = field.check(one, "one");
            Heard second = field.check(two, "two");
            field.time.pass(200);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(Status.Code.OK, second.code());
            assertEquals(2, field.pathlane.counters().value(Name.STOOD));
            ManagedChannel other = field.keep(field.pathlane.attach(field.builder("elsewhere")).build());
            Heard refused = field.check(other, "three");
            assertEquals(Status.Code.INTERNAL, refused.code());
            assertTrue(refused.status.getDescription().contains("build another"), refused.status.toString());
            one.shutdownNow();
            Heard third = field.check(two, "four");
            field.time.pass(200);
            assertEquals(Status.Code.OK, third.code());
        }
    }

    @Test
    void aChannelThatIsShutDownTakesNothingNewAndEndsWhatIsOpen() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            Heard stands = field.sign(channel, "stands");
            field.time.pass(100);
            Heard open = field.check(channel, "open");
            channel.shutdown();
            Heard late = field.check(channel, "late");
            assertEquals(Status.Code.UNAVAILABLE, late.code());
            field.time.pass(9000);
            assertEquals(Status.Code.OK, open.code());
            assertEquals(Status.Code.OK, stands.code());
            assertEquals(0, field.rules.attempts("late"));
            assertTrue(channel.isTerminated());
        }
    }

    @Test
    void aPluginThatIsClosedAnswersWhatIsOpenAndLetsStreamsGoOn() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            Heard stands = field.sign(channel, "stands");
            field.time.pass(100);
            Heard open = field.check(channel, "open");
            field.pathlane.close();
            assertEquals(Status.Code.UNAVAILABLE, open.code());
            assertEquals(Status.Code.UNAVAILABLE, field.check(channel, "late").code());
            field.time.pass(9000);
            assertEquals(Status.Code.OK, stands.code());
            assertEquals(1, open.closes);
        }
    }

    @Test
    void aContextThatIsCancelledGivesItsCallUp() {
        try (Field field = new Field("a")) {
            ManagedChannel channel = field.channel();
            field.processors.get("a").silent();
            Context.CancellableContext context = Context.current().withCancellation();
            Heard[] heard = new Heard[1];
            context.run(() -> heard[0] = field.check(channel, "one"));
            field.time.pass(100);
            context.cancel(null);
            assertEquals(Status.Code.CANCELLED, heard[0].code());
            assertEquals(1, field.pathlane.counters().value(Name.GIVEN_UP_BY_CALLER));
            assertEquals(0, field.pathlane.engine().controller().openCalls());
        }
    }

    @Test
    void anIdleChannelForgetsNoServerAndServesAgain() {
        try (Field field = new Field("a", "b")) {
            ManagedChannel channel = field.channel();
            field.check(channel, "one");
            field.time.pass(100);
            channel.enterIdle();
            field.time.pass(20_000);
            Heard again = field.check(channel, "two");
            field.time.pass(100);
            assertEquals(Status.Code.OK, again.code());
        }
    }

    @Test
    void theProvidersAreFoundByTheirNames() {
        assertTrue(io.grpc.LoadBalancerRegistry.getDefaultRegistry().getProvider("pathlane")
                instanceof PathlaneLoadBalancerProvider);
        assertTrue(io.grpc.NameResolverRegistry.getDefaultRegistry().getProviderForScheme("pathlane-bus")
                instanceof BusNameResolverProvider);
        assertEquals("dns", io.grpc.NameResolverRegistry.getDefaultRegistry().getDefaultScheme());
    }
}
