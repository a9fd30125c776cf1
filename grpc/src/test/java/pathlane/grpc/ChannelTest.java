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
import pathlane.grpc.PluginHarness.Response;
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
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            List<Response> streams = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                streams.add(harness.sign(channel, "s" + i));
                harness.time.pass(100);
            }
            harness.processors.get("a").silent();
            List<Response> calls = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                calls.add(harness.check(channel, "n" + i));
                harness.time.pass(100);
            }
            harness.processors.get("a").speak();
            harness.time.pass(20_000);
            assertTrue(streams.stream().allMatch(response -> response.closes == 1 && response.messages.size() == 1));
            assertTrue(calls.stream().allMatch(response -> response.closes == 1));
            long stood = calls.stream().filter(response -> response.status.isOk()).count();
            assertTrue(stood >= 55, "stood: " + stood);
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void anEmptyListIsObeyedAndWhenAllServersComeBackColdNoneIsPushedOver() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            List<Response> calls = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                calls.add(harness.check(channel, "n" + i));
                harness.time.pass(40);
            }
            harness.time.pass(1000);
            long before = harness.processors.values().stream().mapToLong(Processor::setUps).sum();
            harness.list();
            for (int i = 0; i < 100; i++) {
                calls.add(harness.check(channel, "e" + i));
                harness.time.pass(40);
            }
            assertEquals(before, harness.processors.values().stream().mapToLong(Processor::setUps).sum(), "sent nowhere");
            harness.add("c").startCold();
            harness.add("d").startCold();
            harness.list("c", "d");
            for (int i = 0; i < 600; i++) {
                calls.add(harness.check(channel, "c" + i));
                harness.time.pass(25);
            }
            harness.time.pass(10_000);
            assertTrue(calls.stream().allMatch(response -> response.closes == 1));
            for (String cold : List.of("c", "d")) {
                Processor processor = harness.processors.get(cold);
                assertTrue(!processor.fell() && processor.mostOfBudget() < 1, cold + ": " + processor.mostOfBudget());
                assertTrue(processor.answers() > 100, cold + " answered " + processor.answers());
            }
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    @Test
    void aStreamOutlivesItsServersNameAndNothingNewGoesThere() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response response = harness.sign(channel, "one");
            harness.time.pass(200);
            harness.add("b");
            harness.list("b");
            for (int i = 0; i < 10; i++) {
                harness.check(channel, "n" + i);
                harness.time.pass(100);
            }
            assertEquals(1, harness.processors.get("a").setUps());
            assertEquals(0, response.closes);
            harness.time.pass(8000);
            assertEquals(Status.Code.OK, response.code());
            harness.list("a");
            Response back = harness.check(channel, "back");
            harness.time.pass(200);
            assertEquals(Status.Code.OK, back.code());
            assertEquals(2, harness.processors.get("a").setUps());
        }
    }

    @Test
    void whereTheFirstListIsEmptyCallsFailAtOnceAndThoseThatWaitForItStand() {
        try (PluginHarness harness = new PluginHarness()) {
            ManagedChannel channel = harness.channel();
            Response now = harness.check(channel, "now");
            assertEquals(Status.Code.UNAVAILABLE, now.code());
            Response waits = harness.call(channel, GrpcFront.CHECK, CallOptions.DEFAULT.withWaitForReady(), "waits");
            assertEquals(0, waits.closes);
            harness.add("a");
            harness.list("a");
            harness.time.pass(100);
            assertEquals(Status.Code.OK, waits.code());
        }
    }

    @Test
    void settingsComeByTheServiceConfigToo() {
        Map<String, Object> own = new HashMap<>(json(PluginHarness.SETTINGS));
        own.put("plug-in", json("{\"classes\": {\"signing.Sessions\": \"deadline-sign\"}}"));
        Map<String, ?> service = Map.of("loadBalancingConfig", List.of(Map.of("pathlane", own)));
        try (PluginHarness harness = new PluginHarness(Pathlane.builder(), "a")) {
            ManagedChannel channel = harness.keep(harness.pathlane.attach(harness.builder("pool"), service).build());
            Response response = harness.check(channel, "one");
            harness.time.pass(100);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.engine().config().classOf("signing.Sessions/Check", "signing.Sessions", null));
        }
    }

    @Test
    void aChannelWithoutSettingsSaysSo() {
        try (PluginHarness harness = new PluginHarness(Pathlane.builder(), "a")) {
            Response response = harness.check(harness.channel(), "one");
            assertEquals(Status.Code.INTERNAL, response.code());
            assertTrue(response.status.getDescription().contains("has no settings"), response.status.toString());
        }
    }

    @Test
    void aBadConfigIsRefusedWithOneSentence() {
        PathlaneLoadBalancerProvider provider = new PathlaneLoadBalancerProvider();
        Status error = provider.parseLoadBalancingPolicyConfig(json(
                PluginHarness.SETTINGS.replace("\"cold-ms\": 13000,", ""))).getError();
        assertEquals("the config of the policy 'pathlane' can't be used: setting can't be used: cold-ms",
                error.getDescription());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().configuration("no json"));
        assertThrows(IllegalArgumentException.class,
                () -> Pathlane.builder().configuration(PluginHarness.SETTINGS).defaultClass("no-such").build());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().defaultClass("a").build());
    }

    @Test
    void thePolicyWithoutItsPluginSaysSo() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel bare = harness.keep(harness.builder("pool").defaultLoadBalancingPolicy("pathlane").build());
            Response response = harness.check(bare, "one");
            assertEquals(Status.Code.INTERNAL, response.code());
            assertTrue(response.status.getDescription().contains("Pathlane.attach"), response.status.toString());
        }
    }

    @Test
    void hedgingIsRefusedWhereTheChannelIsBuilt() {
        Map<String, ?> hedging = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "hedgingPolicy":
                 {"maxAttempts": 3, "hedgingDelay": "0.05s", "nonFatalStatusCodes": ["UNAVAILABLE"]}}]}""");
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            assertThrows(IllegalArgumentException.class,
                    () -> harness.pathlane.attach(harness.builder("pool"), hedging));
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
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel insists = harness.keep(harness.pathlane.attach(harness.builder("pool").intercept(new Hedger()))
                    .build());
            Response first = harness.check(insists, "one");
            Response second = harness.check(insists, "two");
            assertEquals(Status.Code.FAILED_PRECONDITION, second.code());
            assertTrue(second.status.getDescription().contains("hedgingPolicy"), second.status.toString());
            harness.time.pass(1000);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(1, harness.rules.attempts("one"));
            assertEquals(0, harness.rules.attempts("two"));
        }
    }

    @Test
    void aRetryPolicyMakesNoAttemptOfItsOwn() {
        Map<String, ?> retrying = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "retryPolicy":
                 {"maxAttempts": 5, "initialBackoff": "0.01s", "maxBackoff": "0.01s", "backoffMultiplier": 1,
                  "retryableStatusCodes": ["INTERNAL", "NOT_FOUND"]}}]}""");
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.values().forEach(front -> front.answerWith(Status.NOT_FOUND));
            ManagedChannel channel = harness.keep(harness.pathlane.attach(harness.builder("pool"), retrying).build());
            Response response = harness.check(channel, "one");
            harness.time.pass(2000);
            assertEquals(Status.Code.NOT_FOUND, response.code());
            assertEquals(1, harness.rules.attempts("one"));
        }
    }

    @Test
    void channelsOfOneTargetShareAControllerAndAnotherTargetIsRefused() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel one = harness.channel();
            ManagedChannel two = harness.channel();
            Response first = harness.check(one, "one");
            Response second = harness.check(two, "two");
            harness.time.pass(200);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(Status.Code.OK, second.code());
            assertEquals(2, harness.pathlane.counters().value(Name.ESTABLISHED));
            ManagedChannel other = harness.keep(harness.pathlane.attach(harness.builder("elsewhere")).build());
            Response refused = harness.check(other, "three");
            assertEquals(Status.Code.INTERNAL, refused.code());
            assertTrue(refused.status.getDescription().contains("build another"), refused.status.toString());
            one.shutdownNow();
            Response third = harness.check(two, "four");
            harness.time.pass(200);
            assertEquals(Status.Code.OK, third.code());
        }
    }

    @Test
    void aChannelThatIsShutDownTakesNothingNewAndEndsWhatIsOpen() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response stands = harness.sign(channel, "stands");
            harness.time.pass(100);
            Response open = harness.check(channel, "open");
            channel.shutdown();
            Response late = harness.check(channel, "late");
            assertEquals(Status.Code.UNAVAILABLE, late.code());
            harness.time.pass(9000);
            assertEquals(Status.Code.OK, open.code());
            assertEquals(Status.Code.OK, stands.code());
            assertEquals(0, harness.rules.attempts("late"));
            assertTrue(channel.isTerminated());
        }
    }

    @Test
    void aPluginThatIsClosedAnswersWhatIsOpenAndLetsStreamsGoOn() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response stands = harness.sign(channel, "stands");
            harness.time.pass(100);
            Response open = harness.check(channel, "open");
            harness.pathlane.close();
            assertEquals(Status.Code.UNAVAILABLE, open.code());
            assertEquals(Status.Code.UNAVAILABLE, harness.check(channel, "late").code());
            harness.time.pass(9000);
            assertEquals(Status.Code.OK, stands.code());
            assertEquals(1, open.closes);
        }
    }

    @Test
    void aContextThatIsCancelledGivesItsCallUp() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").silent();
            Context.CancellableContext context = Context.current().withCancellation();
            Response[] response = new Response[1];
            context.run(() -> response[0] = harness.check(channel, "one"));
            harness.time.pass(100);
            context.cancel(null);
            assertEquals(Status.Code.CANCELLED, response[0].code());
            assertEquals(1, harness.pathlane.counters().value(Name.GIVEN_UP_BY_CLIENT));
            assertEquals(0, harness.pathlane.engine().controller().openCalls());
        }
    }

    @Test
    void anIdleChannelForgetsNoServerAndServesAgain() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            harness.check(channel, "one");
            harness.time.pass(100);
            channel.enterIdle();
            harness.time.pass(20_000);
            Response again = harness.check(channel, "two");
            harness.time.pass(100);
            assertEquals(Status.Code.OK, again.code());
        }
    }

    @Test
    void theProvidersAreFoundByTheirNames() {
        assertTrue(io.grpc.LoadBalancerRegistry.getDefaultRegistry()
                .getProvider("pathlane") instanceof PathlaneLoadBalancerProvider);
        assertTrue(io.grpc.NameResolverRegistry.getDefaultRegistry()
                .getProviderForScheme("pathlane-bus") instanceof BusNameResolverProvider);
        assertEquals("dns", io.grpc.NameResolverRegistry.getDefaultRegistry().getDefaultScheme());
    }
}
